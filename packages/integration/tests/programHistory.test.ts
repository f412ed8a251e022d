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

test('accepts a repeated call that was not run before', () => {
  const history = [entry(0, 'a', answered), entry(1, 'b', notRun), entry(2, 'b', answered)];
  expect(checkHistoryEntries(history)).toEqual([]);
  expect(getAnsweredKeys(history)).toEqual(['a', 'b']);
});

test.each([answered, unknown])('reports a repeated call after %j', (outcome) => {
  expect(checkHistoryEntries([entry(0, 'a', outcome), entry(1, 'a', answered)])).toHaveLength(1);
});

test('reports a gap', () => {
  expect(checkHistoryEntries([entry(1, 'a', answered)])).toHaveLength(1);
});
