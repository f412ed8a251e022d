import { learnBegunPrograms } from '../../src/budgets/learnBegunPrograms';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const start = (answers: readonly boolean[]) => {
  const asked: number[] = [];
  const learnBegun = async (): Promise<boolean> => {
    asked.push(performance.now());
    return answers[asked.length - 1] ?? false;
  };
  const controller = new AbortController();
  const { signal } = controller;
  void learnBegunPrograms({ learnBegun }).run({ signal, ready: () => undefined });
  return { asked, controller };
};

test('callers that waited for the start are served first', async () => {
  const { asked } = start([true]);
  await jest.advanceTimersByTimeAsync(2_000);
  expect(asked).toHaveLength(0);
  await jest.advanceTimersByTimeAsync(2_000);
  expect(asked).toHaveLength(1);
});

test('the store is asked until it answers', async () => {
  const { asked } = start([false, false, true]);
  await jest.advanceTimersByTimeAsync(20_000);
  expect(asked).toHaveLength(3);
});

test('a stop ends the questions', async () => {
  const { asked, controller } = start([]);
  await jest.advanceTimersByTimeAsync(4_000);
  controller.abort();
  const before = asked.length;
  await jest.advanceTimersByTimeAsync(10_000);
  expect(asked.length).toBe(before);
});
