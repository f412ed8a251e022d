import { EventStreamReader } from '../../src/calls/eventStreamReader';
import { SilentCost } from '../../src/calls/silentCost';

const isExceededAfter = (text: string): boolean => {
  const cost = new SilentCost();
  new EventStreamReader().push(Buffer.from(text)).forEach((event) => cost.record(event));
  return cost.isExceeded;
};

test.each([
  ['events with data', 'data: a\n\n'.repeat(5_000), false],
  ['comments between events with data', ':\n\n:\n\ndata: a\n\n'.repeat(2_000), false],
  ['a thousand comments', ':\n\n'.repeat(1_000), false],
  ['more comments', ':\n\n'.repeat(1_001), true],
  ['blank lines', '\n'.repeat(5_000), true],
  ['a long comment', `:${'a'.repeat(70_000)}\n\n`, true],
])('what a stream costs without data: %s', (_name, text, isExceeded) => {
  expect(isExceededAfter(text)).toBe(isExceeded);
});
