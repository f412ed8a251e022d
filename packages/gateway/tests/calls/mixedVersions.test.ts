import type { IncomingHttpHeaders, RequestListener } from 'node:http';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { CallHarness } from '../support/callHarness';

const RESUMABLE: RouteExecution = {
  kind: 'event-stream',
  isResumable: true,
  maximumGapMilliseconds: 200,
};

const eventOf = (id: number, text: string): string => `id: ${id}\ndata: ${text}\n\n`;

let harness = new CallHarness();
let received: IncomingHttpHeaders[] = [];

beforeEach(() => {
  harness = new CallHarness();
  received = [];
});

afterEach(() => harness.close());

/** Sends the first event of a new stream, then resets the connection. */
const breakAfterFirstEvent =
  (text: string, onBroken: () => void = () => undefined): RequestListener =>
  ({ headers }, response) => {
    response.writeHead(200, { 'x-signed': '1' });
    if (headers['x-after'] !== '') {
      response.destroy();
      return;
    }
    response.write(eventOf(1, text));
    setTimeout(() => {
      onBroken();
      response.destroy();
    }, 20);
  };

/** Sends the rest of a stream of three events. */
const complete =
  (text: string): RequestListener =>
  ({ headers }, response) => {
    received.push(headers);
    response.writeHead(200, { 'x-signed': '1' });
    const next = Number(headers['x-after'] ?? 0) + 1;
    [1, 2, 3].filter((id) => id >= next).forEach((id) => response.write(eventOf(id, text)));
    response.end();
  };

const run = () => harness.run({ execution: RESUMABLE, maximumTargets: 3 });

/** Starts a target that begins the stream: the only one at the time of the first dispatch. */
const addBreakingTarget = async (version: string | undefined, onBroken: () => void) => {
  const target = await harness.addTarget('t0', breakAfterFirstEvent('one', onBroken));
  harness.announce('t0', target.address, 'serving', { version });
  return target;
};

const addTargetLater = async (id: string, version: string | undefined, text: string) => {
  const { address } = await harness.addTarget(id, complete(text));
  harness.fleet.targets.remove(id);
  return () => harness.announce(id, address, 'serving', { version });
};

// A stream that broke off went on at any target of its service, whatever its version.
test('a stream does not go on at another version', async () => {
  const announce = await addTargetLater('t1', 'v2', 'two');
  await addBreakingTarget('v1', announce);
  const view = await run();
  expect(view).toMatchObject({ isWhole: false, body: eventOf(1, 'one') });
  expect(received).toEqual([]);
});

test('a stream goes on at a target of its version', async () => {
  const announceOther = await addTargetLater('t1', 'v2', 'two');
  const announceSame = await addTargetLater('t2', 'v1', 'one');
  await addBreakingTarget('v1', () => {
    announceOther();
    announceSame();
  });
  const view = await run();
  expect(view).toMatchObject({ isWhole: true });
  expect(view.body).toBe([1, 2, 3].map((id) => eventOf(id, 'one')).join(''));
});

test('a stream does not go on at a target that started again with another version', async () => {
  const { address } = await harness.addTarget('later', complete('two'));
  harness.fleet.targets.remove('later');
  await addBreakingTarget('v1', () =>
    harness.announce('t0', address, 'serving', { version: 'v2' }),
  );
  const view = await run();
  expect(view).toMatchObject({ isWhole: false, body: eventOf(1, 'one') });
  expect(received).toEqual([]);
});

test('targets that announce no version do not count as equal', async () => {
  const announce = await addTargetLater('t1', undefined, 'two');
  await addBreakingTarget(undefined, announce);
  const view = await run();
  expect(view).toMatchObject({ isWhole: false, body: eventOf(1, 'one') });
});

test('a stream without an event yet may begin at another version', async () => {
  const announce = await addTargetLater('t1', 'v2', 'two');
  const { address } = await harness.addTarget('t0', (_request, response) => {
    announce();
    response.destroy();
  });
  harness.announce('t0', address, 'serving', { version: 'v1' });
  const view = await run();
  expect(view.body).toBe([1, 2, 3].map((id) => eventOf(id, 'two')).join(''));
});
