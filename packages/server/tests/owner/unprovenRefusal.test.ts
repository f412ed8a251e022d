import type { RequestListener } from 'node:http';
import { runOwnedCall } from '../support/runOwnedCall';

let runs: number;

beforeEach(() => {
  runs = 0;
});

/** Runs a call and then answers with a status that is usual for calls that have not run. */
const runAndRefuse =
  (status: number): RequestListener =>
  (_request, response) => {
    runs += 1;
    response.writeHead(status).end('busy');
  };

const decline: RequestListener = (_request, response) => {
  response.writeHead(503, { 'limpetnotch-executed': 'no' }).end();
};

const serve: RequestListener = (_request, response) => {
  runs += 1;
  response.end('{}');
};

const textOf = (view: Awaited<ReturnType<typeof runOwnedCall>>): string =>
  view.events
    .flatMap(({ event }) => (event.case === 'chunk' ? [Buffer.from(event.value).toString()] : []))
    .join('');

// Such a call ran at each engine that answered so, and was reported as not executed.
test.each([429, 503])(
  'a call that an engine may have run before %d is not repeated',
  async (status) => {
    const targets = [runAndRefuse(status), runAndRefuse(status)];
    const { outcome } = await runOwnedCall({ isIdempotent: false, isChat: true, targets });
    expect(runs).toBe(1);
    expect(outcome).toMatchObject({ problem: 'outcome-unknown', executed: 'unknown' });
  },
);

// The discarded body of the refusal ended the process by an unhandled error.
test('an idempotent call that an engine refuses is served by the next one', async () => {
  const targets = [runAndRefuse(503), serve];
  const view = await runOwnedCall({ isIdempotent: true, isChat: true, targets });
  expect([textOf(view), runs]).toEqual(['{}', 2]);
});

test('an idempotent call that all engines refuse costs no tokens and may have run', async () => {
  const targets = [runAndRefuse(503), runAndRefuse(429)];
  const { outcome } = await runOwnedCall({ isIdempotent: true, isChat: true, targets });
  expect(outcome).toMatchObject({ executed: 'unknown', usage: { tokens: 0 } });
});

test.each([true, false])(
  'a call that a target states not to have run goes on (chat: %s)',
  async (isChat) => {
    const view = await runOwnedCall({ isIdempotent: false, isChat, targets: [decline, serve] });
    expect([textOf(view), runs]).toEqual(['{}', 1]);
  },
);

test.each([true, false])(
  'a call that all targets state not to have run is not executed (chat: %s)',
  async (isChat) => {
    const { outcome } = await runOwnedCall({
      isIdempotent: false,
      isChat,
      targets: [decline, decline],
    });
    expect(outcome).toMatchObject({ kind: 'failed', executed: 'no' });
  },
);

test('the answer 503 of a plain service is passed on as it is', async () => {
  const targets = [runAndRefuse(503), serve];
  const view = await runOwnedCall({ isIdempotent: false, isChat: false, targets });
  expect([textOf(view), runs]).toEqual(['busy', 1]);
  expect(view.events[0]?.event).toMatchObject({ case: 'head', value: { status: 503 } });
});
