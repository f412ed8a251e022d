import fc from 'fast-check';
import { sharedBody } from '../src';
import type { SharedBody } from '../src';

const base64 = (text: string): string => Buffer.from(text).toString('base64');

const storeAll = (bodies: readonly string[]): SharedBody[] => {
  const history: SharedBody[] = [];
  bodies.forEach((body) => history.push(sharedBody.encode(history, body)));
  return history;
};

test('restores every body completely', () => {
  const body = fc
    .record({ shared: fc.nat(9_000), own: fc.string({ unit: 'binary', maxLength: 300 }) })
    .map(({ shared, own }) => base64(`${'prompt '.repeat(1_300).slice(0, shared)}${own}`));
  fc.assert(
    fc.property(fc.array(body, { maxLength: 12 }), (bodies) => {
      const history = storeAll(bodies);
      expect(history.map((_entry, sequence) => sharedBody.restore(history, sequence))).toEqual(
        bodies,
      );
    }),
    { seed: 7, numRuns: 300 },
  );
});

test('a chat that grows by a turn stores each message once', () => {
  const turns = Array.from({ length: 100 }, (_value, turn) =>
    `{"turn":${String(turn)}}`.repeat(50),
  );
  const bodies = turns.map((_turn, last) =>
    base64(`{"messages":[${turns.slice(0, last + 1).join(',')}],"model":"m"}`),
  );
  const stored = storeAll(bodies).reduce(
    (total, { requestBodyBase64 }) => total + requestBodyBase64.length,
    0,
  );
  // Each turn adds its own message and repeats the part after the messages.
  expect(stored).toBeLessThan(1.1 * (bodies[bodies.length - 1]?.length ?? 0));
});
