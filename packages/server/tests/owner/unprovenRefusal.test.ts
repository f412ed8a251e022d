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

const serve: RequestListener = (_request, response) => {
  runs += 1;
  response.end('{}');
};

const textOf = (view: Awaited<ReturnType<typeof runOwnedCall>>): string =>
  view.events
    .flatMap(({ event }) => (event.case === 'chunk' ? [Buffer.from(event.value).toString()] : []))
    .join('');

// The discarded body of the refusal ended the process by an unhandled error.
test('an idempotent call that an engine refuses is served by the next one', async () => {
  const targets = [runAndRefuse(503), serve];
  const view = await runOwnedCall({ isIdempotent: true, isChat: true, targets });
  expect([textOf(view), runs]).toEqual(['{}', 2]);
});
