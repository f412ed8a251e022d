import type { RequestListener } from 'node:http';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { CallHarness, SIGNED } from '../support/callHarness';

/** Far less than the deadline of a call; a target answers in milliseconds. */
const PROMPT_MILLISECONDS = 1_000;

const EVENT = 'data: a\n\n';
const ANSWER = `x-id: r1\r\nx-signed: 1\r\ncontent-type: text/event-stream\r\ncontent-length: ${EVENT.length}\r\n\r\n${EVENT}`;

/** Status codes of no final response, each with an answer that is otherwise whole. */
const STATUSES = ['000', '099', '101', '12', '', '600', '999'] as const;

const EXECUTIONS: Readonly<Record<string, RouteExecution>> = {
  'at-most-once': { kind: 'at-most-once' },
  idempotent: { kind: 'idempotent' },
  'event-stream': { kind: 'event-stream', isResumable: true, maximumGapMilliseconds: 200 },
};

const CASES = STATUSES.flatMap((status) =>
  Object.keys(EXECUTIONS).map((execution) => ({ status, execution })),
);

let harness = new CallHarness();

beforeEach(() => {
  harness = new CallHarness();
});

afterEach(() => harness.close());

const answerWith =
  (status: string): RequestListener =>
  ({ socket }) => {
    socket.write(`HTTP/1.1 ${status} Odd\r\n${ANSWER}`);
  };

const run = (execution: string, maximumTargets: number) =>
  harness.run({ execution: EXECUTIONS[execution]!, maximumTargets });

// On other systems the caller received the status of a failing target as an answer.
test.each(CASES)('a lone target that answers $status to $execution', async (each) => {
  await harness.addTarget('t0', answerWith(each.status));
  const view = await run(each.execution, 1);
  if (process.env.STATUS_TABLE) {
    process.stderr.write(`${each.execution} | ${each.status} | ${view.status} ${view.body}\n`);
  }
  expect(view.status).toBe(502);
  expect(view.milliseconds).toBeLessThan(PROMPT_MILLISECONDS);
});

const STREAM_CASES = STATUSES.map((status) => ({ status }));

test.each(STREAM_CASES)('a resumption that is answered $status breaks the stream', async (each) => {
  let count = 0;
  const handle: RequestListener = (request, response) => {
    if (request.headers['x-after'] === '1') {
      count += 1;
      answerWith(each.status)(request, response);
      return;
    }
    response.writeHead(200, SIGNED);
    response.write('id: 1\ndata: first\n\n');
    setTimeout(() => response.destroy(), 20);
  };
  await harness.addTarget('t0', handle);
  await harness.addTarget('t1', handle);
  const view = await run('event-stream', 2);
  if (process.env.STATUS_TABLE) {
    process.stderr.write(
      `resumption | ${each.status} | ${view.status} ${view.body} ${view.isWhole}\n`,
    );
  }
  expect(count).toBeGreaterThan(0);
  expect(view).toMatchObject({ status: 200, isWhole: false });
  expect(view.body).not.toContain('data: a');
});

test.each(STREAM_CASES)('a retry after the status $status is served', async (each) => {
  let isFirst = true;
  const handle: RequestListener = (request, response) => {
    if (isFirst) {
      isFirst = false;
      answerWith(each.status)(request, response);
      return;
    }
    response.writeHead(200, SIGNED).end('served');
  };
  await harness.addTarget('t0', handle);
  await harness.addTarget('t1', handle);
  const view = await run('idempotent', 3);
  if (process.env.STATUS_TABLE) {
    process.stderr.write(`retry | ${each.status} | ${view.status} ${view.body}\n`);
  }
  expect(view).toMatchObject({ status: 200, body: 'served' });
});

test('a stream whose target sends informational answers without end is broken', async () => {
  await harness.addTarget('t0', ({ socket }) => {
    socket.write('HTTP/1.1 103 Early\r\n\r\n'.repeat(100));
  });
  expect((await run('event-stream', 1)).status).toBe(502);
});
