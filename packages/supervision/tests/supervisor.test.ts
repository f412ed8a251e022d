import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { Supervisor, untilAborted } from '../src';
import type { ChildSpecification } from '../src';

const createSupervisor = (maximumRestarts: number): Supervisor =>
  new Supervisor({
    name: 'root',
    logger: silentLogger,
    metrics: new MemoryMetrics(),
    maximumRestarts,
  });

const createRecordingChild = (name: string, events: string[]): ChildSpecification => ({
  name,
  restart: 'always',
  run: async ({ signal, ready }) => {
    events.push(`start ${name}`);
    ready();
    await new Promise((resolve) => {
      signal.addEventListener('abort', resolve);
    });
    events.push(`stop ${name}`);
  },
});

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('starts children in order and stops them in reverse order', async () => {
  const events: string[] = [];
  const supervisor = createSupervisor(3);
  await supervisor.startChild(createRecordingChild('first', events));
  await supervisor.startChild(createRecordingChild('second', events));
  await supervisor.stop();
  expect(events).toEqual(['start first', 'start second', 'stop second', 'stop first']);
});

test('restarts a failed child after a backoff', async () => {
  let starts = 0;
  const supervisor = createSupervisor(3);
  await supervisor.startChild({
    name: 'flaky',
    restart: 'always',
    run: async ({ ready }) => {
      starts += 1;
      ready();
      await Promise.reject(new Error('broken'));
    },
  });
  expect(starts).toBe(1);
  await jest.advanceTimersByTimeAsync(200);
  expect(starts).toBe(2);
  await supervisor.stop();
});

test('escalates after too many restarts', async () => {
  const supervisor = createSupervisor(2);
  const running = supervisor.run(new AbortController().signal);
  const failure = expect(running).rejects.toThrow('root: flaky: broken');
  await supervisor.startChild({
    name: 'flaky',
    restart: 'always',
    run: async ({ ready }) => {
      ready();
      await Promise.reject(new Error('broken'));
    },
  });
  await jest.advanceTimersByTimeAsync(10_000);
  await failure;
});

test('no child is started after the signal aborts', async () => {
  const stopping = new AbortController();
  const started: string[] = [];
  const child = (name: string): ChildSpecification => ({
    name,
    restart: 'never',
    run: async ({ signal }) => {
      started.push(name);
      await untilAborted(signal);
    },
  });
  const supervisor = createSupervisor(3);
  const starting = supervisor.startChildren([child('first'), child('second')], stopping.signal);
  stopping.abort();
  await starting;
  await supervisor.run(stopping.signal);
  expect(started).toEqual(['first']);
});
