import type { RequestListener } from 'node:http';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { CallHarness, SIGNED } from '../support/callHarness';

const PLAIN: RouteExecution = { kind: 'at-most-once' };
const REPEATABLE: RouteExecution = { kind: 'idempotent' };

/** Far less than the deadline of a call; a target answers in milliseconds. */
const PROMPT_MILLISECONDS = 1_000;

/** Status lines that begin no final response to a request without an upgrade. */
const STATUS_LINES = [
  'HTTP/1.1 000 ',
  'HTTP/1.1 007 Odd',
  'HTTP/1.1 99 Odd',
  'HTTP/1.1 101 Switching Protocols',
  'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other',
  'HTTP/1.1 1000 Odd',
  'HTTP/1.1 abc Odd',
];

const CASES = STATUS_LINES.flatMap((line) =>
  ['closes', 'stays open'].map((connection) => ({ line, connection })),
);

let harness = new CallHarness();

beforeEach(() => {
  harness = new CallHarness();
});

afterEach(() => harness.close());

const answerWith =
  (line: string, connection: string): RequestListener =>
  ({ socket }) => {
    const bytes = `${line}\r\nx-id: r1\r\nx-signed: 1\r\n\r\n`;
    if (connection === 'closes') socket.end(bytes);
    else socket.write(bytes);
  };

// A request whose target answered with a status of no response waited for its deadline.
test.each(CASES)(
  'an unsafe request ends at once after "$line" on a connection that $connection',
  async ({ line, connection }) => {
    await harness.addTarget('t0', answerWith(line, connection));
    const view = await harness.run({ execution: PLAIN });
    // It may have run.
    expect(view.status).toBe(502);
    expect(view.milliseconds).toBeLessThan(PROMPT_MILLISECONDS);
  },
);

test.each(CASES)(
  'a safe request is served by another target after "$line" on a connection that $connection',
  async ({ line, connection }) => {
    let isFirst = true;
    const handle: RequestListener = (request, response) => {
      if (isFirst) {
        isFirst = false;
        answerWith(line, connection)(request, response);
        return;
      }
      response.writeHead(200, SIGNED).end('served');
    };
    await harness.addTarget('t0', handle);
    await harness.addTarget('t1', handle);
    const view = await harness.run({ execution: REPEATABLE, maximumTargets: 3 });
    expect(view).toMatchObject({ status: 200, body: 'served' });
    expect(view.milliseconds).toBeLessThan(PROMPT_MILLISECONDS);
  },
);
