import type { HistoryEntry } from '../src/faults/programHistory';
import { getAnsweredKeys, checkHistoryEntries } from '../src/faults/programHistory';

const entry = (sequence: number, key: string, outcome: HistoryEntry['outcome']): HistoryEntry => ({
  sequence,
  idempotencyKey: key,
  idempotent: false,
  outcome,
});

const answered = { kind: 'answered' } as const;
const notRun = { kind: 'failed', executed: 'no' } as const;
const unknown = { kind: 'failed', executed: 'unknown' } as const;

test('accepts a call again after it was not run', () => {
  const history = [entry(0, 'a', answered), entry(1, 'b', notRun), entry(2, 'b', answered)];
  expect(checkHistoryEntries(history)).toEqual([]);
  expect(getAnsweredKeys(history)).toEqual(['a', 'b']);
});

test.each([answered, unknown])('finds a call again after %j', (outcome) => {
  expect(checkHistoryEntries([entry(0, 'a', outcome), entry(1, 'a', answered)])).toHaveLength(1);
});

test('finds a gap', () => {
  expect(checkHistoryEntries([entry(1, 'a', answered)])).toHaveLength(1);
});
