import type { RequestListener } from 'node:http';
import type { Socket } from 'node:net';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { CallHarness } from '../support/callHarness';

const EVENT = 'id: 1\ndata: a\n\n';

const PLAIN: RouteExecution = { kind: 'at-most-once' };
const STREAM: RouteExecution = {
  kind: 'event-stream',
  isResumable: false,
  maximumGapMilliseconds: 200,
};

/** How a target ends the connection that marks the end of its response. */
const ENDINGS = {
  'closed in order': (socket: Socket, body: string) => socket.end(body),
  'reset with the last bytes': (socket: Socket, body: string) => {
    socket.write(body);
    socket.resetAndDestroy();
  },
  'reset after the last bytes': (socket: Socket, body: string) => {
    socket.write(body);
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
} as const;

type Ending = keyof typeof ENDINGS;

const RESETS = ['reset with the last bytes', 'reset after the last bytes'] as const;

/** Writes a response that has neither a length nor chunks. */
const respondUntilClose =
  (body: string, ending: Ending, version = '1.1'): RequestListener =>
  ({ socket, headers }) => {
    const rest = headers['x-after'] === '1' ? body.replace(EVENT, '') : body;
    const head = `HTTP/${version} 200 OK\r\nx-id: ${String(headers['x-id'])}\r\nx-signed: 1\r\n\r\n`;
    socket.write(head);
    setTimeout(() => ENDINGS[ending](socket, rest), 20);
  };

let harness = new CallHarness();

beforeEach(() => {
  harness = new CallHarness();
});

afterEach(() => harness.close());

const runAt = async (handle: RequestListener, execution: RouteExecution) => {
  await harness.addTarget('t0', handle);
  return harness.run({ execution });
};

const BODIES = {
  'no event': '',
  'a whole event': EVENT,
  'a part of an event': `${EVENT}id: 2\ndata:`,
  'a line without its end': `${EVENT}id: 2`,
  'a comment': `${EVENT}: alive\n\n`,
} as const;

const RESET_STREAMS = RESETS.flatMap((ending) =>
  Object.entries(BODIES).map(([content, body]) => ({ ending, content, body })),
);

// A connection that was reset passed for the end of a response without a length.
test.each(RESET_STREAMS)('a stream is not complete: $content, $ending', async (given) => {
  const view = await runAt(respondUntilClose(given.body, given.ending), STREAM);
  expect(view.status === 200 && view.isWhole).toBe(false);
  expect(view.result).toMatchObject({ kind: 'refused', refusal: { kind: 'outcome-unknown' } });
});

test.each(RESETS)('a plain response is not complete: %s', async (ending) => {
  const view = await runAt(respondUntilClose('half', ending), PLAIN);
  expect(view.status).toBe(502);
});

test.each(RESETS)('a response of HTTP/1.0 is not complete: %s', async (ending) => {
  const view = await runAt(respondUntilClose('half', ending, '1.0'), PLAIN);
  expect(view.status).toBe(502);
});

const INCOMPLETE_CONTENTS = [
  'no event',
  'a part of an event',
  'a line without its end',
  'a comment',
] as const;

// Nothing but a last event shows that such a stream has reached its end.
test.each(INCOMPLETE_CONTENTS)(
  'a stream that ends with %s is not complete: closed in order',
  async (content) => {
    const view = await runAt(respondUntilClose(BODIES[content], 'closed in order'), STREAM);
    expect(view.status === 200 && view.isWhole).toBe(false);
  },
);

test('a stream without a length is complete: closed in order', async () => {
  const view = await runAt(respondUntilClose(EVENT, 'closed in order'), STREAM);
  expect(view).toMatchObject({ status: 200, isWhole: true, body: EVENT });
});

test.each(['1.0', '1.1'])(
  'a plain response of HTTP/%s without a length is complete: closed in order',
  async (version) => {
    const view = await runAt(respondUntilClose('whole', 'closed in order', version), PLAIN);
    expect(view).toMatchObject({ status: 200, isWhole: true, body: 'whole' });
  },
);

test.each(RESETS)('a stream goes on at another target: %s', async (ending) => {
  await harness.addTarget('t0', respondUntilClose(EVENT, ending));
  await harness.addTarget('t1', ({ headers }, response) => {
    response.writeHead(200, { 'x-signed': '1' });
    const begun = headers['x-after'] === '1' ? '' : EVENT;
    response.end(`${begun}id: 2\ndata: b\n\n`);
  });
  const view = await harness.run({
    execution: { ...STREAM, isResumable: true },
    maximumTargets: 2,
  });
  expect(view).toMatchObject({ status: 200, isWhole: true });
  expect(view.body).toBe(`${EVENT}id: 2\ndata: b\n\n`);
});
