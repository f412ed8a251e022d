import type { RequestListener } from 'node:http';
import { CallHarness } from '../support/callHarness';

const AT_MOST_ONCE = { execution: { kind: 'at-most-once' } } as const;

const TURN = {
  program: { id: 'p', session: undefined, finishMilliseconds: undefined, tokenBudget: undefined },
  prompt: { inputTokens: 10, maximumOutputTokens: 10, expectedOutputTokens: undefined, parts: [] },
};

const DECLINED =
  'HTTP/1.1 503 Full\r\nx-id: r1\r\nx-signed: 1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n';

const SERVED = 'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok';

/** Copies of a response that each connection still brings. */
const copies = new WeakMap<object, string>();

let harness: CallHarness;
let isFull: boolean;
let runs: number;

beforeEach(() => {
  harness = new CallHarness();
  isFull = false;
  runs = 0;
});

afterEach(() => harness.close());

/**
 * Declines one request while it is full. A second copy of that response precedes the response to
 * the next request on the same connection, which the target runs.
 */
const declineTwice: RequestListener = (request) => {
  const { socket } = request;
  request.resume();
  if (isFull) {
    isFull = false;
    copies.set(socket, DECLINED);
    socket.write(DECLINED);
    return;
  }
  runs += 1;
  socket.write(`${copies.get(socket) ?? ''}${SERVED}`);
  copies.delete(socket);
};

// The copy was taken for the response to the second dispatch: the request ran again at a third.
test.each([1, 2])('a second copy of a decline denies no later run (limit %d)', async (limit) => {
  harness.connectionLimit = limit;
  await harness.addTarget('t0', declineTwice);
  await harness.run(AT_MOST_ONCE, 'r1', TURN);
  runs = 0;
  isFull = true;
  const { status, body } = await harness.run(AT_MOST_ONCE, 'r1', TURN);
  expect([status, body, runs]).toEqual([200, 'ok', 1]);
});
