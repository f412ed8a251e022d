import type { RequestListener } from 'node:http';
import type { ProgramReference } from '../../src/calls/callEnvelope';
import { CallHarness, SIGNED } from '../support/callHarness';

let harness = new CallHarness();

beforeEach(() => {
  harness = new CallHarness();
});

afterEach(() => harness.close());

const ROUTE = { execution: { kind: 'at-most-once' } } as const;

const programOf = (id: string, finishMilliseconds?: number): ProgramReference => ({
  id,
  session: undefined,
  finishMilliseconds,
  tokenBudget: undefined,
});

const PROMPT = {
  inputTokens: 10,
  maximumOutputTokens: 10,
  expectedOutputTokens: undefined,
  parts: [],
};

let isFull: () => boolean;
let arrivals: number;

const serveUnlessFull: RequestListener = (_request, response) => {
  arrivals += 1;
  if (isFull()) response.writeHead(503, { ...SIGNED, 'x-not-run': '1' }).end();
  else response.writeHead(200, SIGNED).end('ok');
};

beforeEach(async () => {
  isFull = () => false;
  arrivals = 0;
  await harness.addTarget('t0', serveUnlessFull);
  await harness.addTarget('t1', serveUnlessFull);
});

const runTurn = (program: ProgramReference) =>
  harness.run(ROUTE, 'r1', { program, prompt: PROMPT });

/** Guards against the loss of what a program was served before. */
test('a turn of a program under way waits until a full target has room', async () => {
  await runTurn(programOf('p'));
  arrivals = 0;
  isFull = () => arrivals <= 4;
  const { status, body } = await runTurn(programOf('p'));
  expect([status, body]).toEqual([200, 'ok']);
  expect(harness.metrics.counter('contention.waits', { end: 'retry' })).toBeGreaterThan(0);
});

test('a program that has not begun is refused with a time to return', async () => {
  isFull = () => true;
  const { result } = await runTurn(programOf('p'));
  expect(result).toMatchObject({
    kind: 'refused',
    refusal: { kind: 'unavailable', retryAfterSeconds: expect.any(Number) },
  });
  expect(arrivals).toBe(2);
});

test('a turn of a program waits at most for a part of its remaining time', async () => {
  await runTurn(programOf('p', 800));
  isFull = () => true;
  const { status, milliseconds } = await runTurn(programOf('p', 800));
  expect(status).toBe(503);
  expect(milliseconds).toBeLessThan(800);
});

test('a program does not start while a turn of another one waits', async () => {
  await runTurn(programOf('p'));
  isFull = () => true;
  const waiting = runTurn(programOf('p'));
  while (harness.metrics.counter('contention.waits', { end: 'retry' }) === 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  const { result } = await runTurn(programOf('other'));
  expect(result).toMatchObject({ kind: 'refused' });
  isFull = () => false;
  expect((await waiting).status).toBe(200);
});
