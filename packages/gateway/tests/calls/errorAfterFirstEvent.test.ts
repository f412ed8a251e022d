import type { RequestListener } from 'node:http';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { CallHarness } from '../support/callHarness';

const RESUMABLE: RouteExecution = {
  kind: 'event-stream',
  isResumable: true,
  maximumGapMilliseconds: 200,
};

const EVENT = 'id: 1\ndata: a\n\n';
const TEXT = 'out of memory';

let harness = new CallHarness();
let errors = 0;

beforeEach(() => {
  harness = new CallHarness();
  errors = 0;
});

afterEach(() => harness.close());

/** Bytes with which a target answers a resumed request. */
const ERRORS: Readonly<Record<string, string>> = {
  'a failure': `HTTP/1.1 500 Failed\r\nx-id: r1\r\nx-signed: 1\r\ncontent-length: 13\r\n\r\n${TEXT}`,
  'a failure without a length': `HTTP/1.1 500 Failed\r\nx-id: r1\r\nx-signed: 1\r\n\r\n${TEXT}`,
  'a failure without an identifier': `HTTP/1.1 500 Failed\r\ncontent-length: 13\r\n\r\n${TEXT}`,
  'a failure of HTTP/1.0': `HTTP/1.0 500 Failed\r\nx-id: r1\r\nx-signed: 1\r\n\r\n${TEXT}`,
  'a rejection': `HTTP/1.1 400 Bad\r\nx-id: r1\r\nx-signed: 1\r\ncontent-length: 13\r\n\r\n${TEXT}`,
  'a success with an error text': `HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: 1\r\ncontent-length: 13\r\n\r\n${TEXT}`,
  'a success without an event': `HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: 1\r\ncontent-length: 0\r\n\r\n`,
  'a success without a length': `HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: 1\r\n\r\n${TEXT}\n\n`,
  'a success with a comment only': `HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: 1\r\ncontent-length: 9\r\n\r\n: alive\n\n`,
  'bytes that are no answer': `${TEXT}\r\n\r\n`,
};

/** Sends the first event and breaks off; answers resumed requests with an error. */
const respond =
  (error: string): RequestListener =>
  ({ headers, socket }, response) => {
    if (headers['x-after'] === '1') {
      errors += 1;
      socket.end(error);
      return;
    }
    response.writeHead(200, { 'x-signed': '1' });
    response.write(EVENT);
    setTimeout(() => response.destroy(), 20);
  };

// The next target's error became a part of the stream, or its end.
test.each(Object.entries(ERRORS))(
  'a stream that has begun is not completed by %s',
  async (_name, error) => {
    await harness.addTarget('t0', respond(error));
    await harness.addTarget('t1', respond(error));
    const view = await harness.run({ execution: RESUMABLE, maximumTargets: 2 });
    expect(errors).toBeGreaterThan(0);
    expect(view).toMatchObject({ status: 200, isWhole: false });
    expect(view.body.replaceAll(': alive\n\n', '')).toBe(EVENT);
  },
);

test.each(Object.entries(ERRORS))(
  'a stream that is held back for an HTTP/1.0 caller is not replaced by %s',
  async (_name, error) => {
    await harness.addTarget('t0', respond(error));
    await harness.addTarget('t1', respond(error));
    const text = await harness.runFromOldCaller({ execution: RESUMABLE, maximumTargets: 2 });
    expect(errors).toBeGreaterThan(0);
    expect(text).toMatch(/^HTTP\/1\.1 502 /);
    expect(text).not.toContain(TEXT);
  },
);
