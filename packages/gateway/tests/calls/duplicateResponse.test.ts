import type { RequestListener } from 'node:http';
import { delay } from '@limpetnotch/supervision';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { CallHarness } from '../support/callHarness';

const STREAM: RouteExecution = {
  kind: 'event-stream',
  isResumable: true,
  maximumGapMilliseconds: 200,
};

const EXECUTIONS: readonly RouteExecution[] = [
  { kind: 'at-most-once' },
  { kind: 'idempotent' },
  { ...STREAM, isResumable: false },
  STREAM,
];

/** When the target sends a second copy of its first response. */
type Copy = 'immediately' | 'while the connection is idle' | 'as the response to the next request';

const COPIES: readonly Copy[] = [
  'immediately',
  'while the connection is idle',
  'as the response to the next request',
];

const CASES = COPIES.flatMap((copy) =>
  [true, false].flatMap((isNamed) =>
    EXECUTIONS.map((execution) => ({ copy, isNamed, execution, kind: execution.kind })),
  ),
);

const formatResponse = (id: string, isNamed = true): string => {
  const body = `id: 1\ndata: ${id}\n\n`;
  const name = isNamed ? `x-id: ${id}\r\n` : '';
  return `HTTP/1.1 200 OK\r\n${name}x-signed: 1\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
};

let harness = new CallHarness();

beforeEach(() => {
  harness = new CallHarness();
  harness.connectionLimit = 2;
});

afterEach(() => harness.close());

/** Responds to each request, and twice to the first one. */
const respondTwice = (copy: Copy, isNamed: boolean): RequestListener => {
  let second: string | undefined;
  let requests = 0;
  return (request) => {
    const { socket } = request;
    const id = String(request.headers['x-id']);
    requests += 1;
    request.resume();
    if (requests > 1) {
      socket.write(second ?? '');
      second = undefined;
      socket.write(formatResponse(id));
      return;
    }
    switch (copy) {
      case 'immediately':
        socket.write(formatResponse(id) + formatResponse(id, isNamed));
        return;
      case 'while the connection is idle':
        socket.write(formatResponse(id));
        setTimeout(() => socket.write(formatResponse(id, isNamed)), 30);
        return;
      case 'as the response to the next request':
        socket.write(formatResponse(id));
        second = formatResponse(id, isNamed);
    }
  };
};

test.each(CASES)(
  'a duplicate response $copy is not sent to the next caller ($kind, named: $isNamed)',
  async ({ copy, isNamed, execution }) => {
    await harness.addTarget('t0', respondTwice(copy, isNamed));
    const first = await harness.run({ execution }, 'first');
    expect([first.status, first.body]).toEqual([200, 'id: 1\ndata: first\n\n']);
    if (copy === 'while the connection is idle') await delay(80);
    const next = await harness.run({ execution }, 'next');
    expect(next.body).not.toContain('first');
    if (next.status === 200) expect(next.body).toBe('id: 1\ndata: next\n\n');
    // The target may have run the request, so 502 is the only other valid status.
    else expect(next.status).toBe(502);
  },
);

test.each(EXECUTIONS)(
  'a request that waits for the connection of a duplicate response gets its own ($kind)',
  async (execution) => {
    await harness.addTarget('t0', respondTwice('immediately', true));
    harness.connectionLimit = 1;
    const [first, next] = await Promise.all([
      harness.run({ execution }, 'first'),
      harness.run({ execution }, 'next'),
    ]);
    expect([first.status, first.body]).toEqual([200, 'id: 1\ndata: first\n\n']);
    expect([next.status, next.body]).toEqual([200, 'id: 1\ndata: next\n\n']);
  },
);

test.each([
  ['a decline', 'HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n'],
  ['another target', 'HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n'],
  ['a failure', 'HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n'],
])(
  'a late response without a request identifier does not decide the next request (%s)',
  async (_name, late) => {
    let requests = 0;
    await harness.addTarget('t0', (request) => {
      requests += 1;
      request.resume();
      const id = String(request.headers['x-id']);
      request.socket.write(requests === 1 ? formatResponse(id) : late);
    });
    await harness.run({ execution: { kind: 'at-most-once' } }, 'first');
    const { status } = await harness.run({ execution: { kind: 'at-most-once' } }, 'next');
    expect([status, requests]).toEqual([502, 2]);
  },
);

// The connection was used again, so that each further request got the response to the one before.
test('a late response costs one request its own, and not those that follow', async () => {
  let requests = 0;
  await harness.addTarget('t0', (request) => {
    const { socket } = request;
    const id = String(request.headers['x-id']);
    request.resume();
    requests += 1;
    if (requests === 2) socket.write(formatResponse('first'));
    setTimeout(() => socket.write(formatResponse(id)), requests === 1 ? 0 : 50);
  });
  const statuses: number[] = [];
  for (const id of ['first', 'second', 'third', 'fourth']) {
    const { status } = await harness.run({ execution: { kind: 'at-most-once' } }, id);
    statuses.push(status);
  }
  expect(statuses).toEqual([200, 502, 200, 200]);
});

// A target wrote its refusal of an earlier request once more, while it ran the next one.
test.each(EXECUTIONS)(
  'a refusal that is written once more does not decide the next request ($kind)',
  async (execution) => {
    const refusal = 'HTTP/1.1 503 Full\r\nx-id: first\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n';
    const requests: string[] = [];
    await harness.addTarget('t0', (request) => {
      request.resume();
      const id = String(request.headers['x-id']);
      requests.push(id);
      request.socket.write(requests.length <= 2 ? refusal : formatResponse(id));
    });
    await harness.addTarget('t1', (request, response) => {
      request.resume();
      requests.push(`other ${String(request.headers['x-id'])}`);
      response.socket?.end(formatResponse(String(request.headers['x-id'])));
    });
    harness.fleet.targets.remove('t1');
    await harness.run({ execution, maximumTargets: 2 }, 'first');
    const next = await harness.run({ execution, maximumTargets: 2 }, 'next');
    expect(requests.slice(0, 2)).toEqual(['first', 'next']);
    expect(next.status).not.toBe(503);
    const isRepeatable = execution.kind === 'idempotent' || execution === STREAM;
    if (!isRepeatable) expect([next.status, requests.length]).toEqual([502, 2]);
  },
);
