import { MemberListHistory } from '../../src/budgets/memberListHistory';

const RETENTION_MILLISECONDS = 60_000;
const SETTLED_MILLISECONDS = 2_000;

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const within = (history: MemberListHistory) => history.within(RETENTION_MILLISECONDS);

test('a list is in force once it has settled', () => {
  const history = new MemberListHistory();
  history.record(['a', 'b']);
  expect(within(history)).toEqual([]);
  jest.advanceTimersByTime(SETTLED_MILLISECONDS);
  expect(within(history)).toEqual([['a', 'b']]);
});

test('a replaced list stays in force for the retention', () => {
  const history = new MemberListHistory();
  history.record(['a']);
  jest.advanceTimersByTime(SETTLED_MILLISECONDS);
  history.record(['a', 'b']);
  jest.advanceTimersByTime(RETENTION_MILLISECONDS - 1);
  expect(within(history)).toEqual([['a'], ['a', 'b']]);
  jest.advanceTimersByTime(1);
  expect(within(history)).toEqual([['a', 'b']]);
});

test('lists that are replaced before they have settled are not kept', () => {
  const history = new MemberListHistory();
  history.record(['a']);
  history.record(['a', 'b']);
  jest.advanceTimersByTime(SETTLED_MILLISECONDS);
  expect(within(history)).toEqual([['a', 'b']]);
});

test('a learned list counts from the time at which it was learned', () => {
  const history = new MemberListHistory();
  history.record(['a', 'b']);
  jest.advanceTimersByTime(SETTLED_MILLISECONDS);
  history.learn([['a']]);
  expect(history.formerWithin(RETENTION_MILLISECONDS)).toEqual([['a']]);
  jest.advanceTimersByTime(RETENTION_MILLISECONDS);
  expect(within(history)).toEqual([['a', 'b']]);
});
