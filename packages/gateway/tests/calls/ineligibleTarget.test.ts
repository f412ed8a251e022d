import type { RequestListener, ServerResponse } from 'node:http';
import { Deferred, delay } from '@limpetnotch/supervision';
import { TargetConnections } from '../../src/targets/targetConnections';
import { CallHarness, SIGNED } from '../support/callHarness';

const REGIONS = { a: 'north', b: 'south' };

let harness = new CallHarness();

beforeEach(() => {
  harness = new CallHarness(new TargetConnections(), REGIONS);
});

afterEach(() => harness.close());

/** Adds a target that responds at once, and counts the requests to it. */
const addTarget = async (id: string, availabilityZone: string) => {
  const counted = { requests: 0 };
  const handle: RequestListener = (_request, response) => {
    counted.requests += 1;
    response.writeHead(200, SIGNED);
    response.end(id);
  };
  const { address } = await harness.addTarget(id, handle);
  harness.announce(id, address, 'serving', { availabilityZone });
  return counted;
};

const unavailable = (retryAfterSeconds: number) => ({
  kind: 'refused',
  refusal: { kind: 'unavailable', retryAfterSeconds },
});

test('targets of an evacuated availability zone get nothing until the evacuation ends', async () => {
  const first = await addTarget('t0', 'a');
  const second = await addTarget('t1', 'b');
  harness.fleet.evacuations.start('a');
  for (let request = 0; request < 4; request += 1) await harness.run({});
  expect([first.requests, second.requests]).toEqual([0, 4]);
  harness.fleet.evacuations.end('a');
  for (let request = 0; request < 4; request += 1) await harness.run({});
  expect(first.requests).toBe(4);
});

test('a request whose targets are all evacuated is refused at once, with the time of a change', async () => {
  const target = await addTarget('t0', 'a');
  harness.fleet.evacuations.start('a');
  const view = await harness.run({});
  expect(view).toMatchObject({ status: 503, result: unavailable(5) });
  expect(view.milliseconds).toBeLessThan(1_000);
  expect(target.requests).toBe(0);
  expect(harness.metrics.counter('eligibility.refused')).toBe(1);
  expect(harness.logLines.filter(([message]) => message === 'eligibility.refused')).toEqual([
    ['eligibility.refused', expect.objectContaining({ request: 'r1', evacuatedTargets: 1 })],
  ]);
});

// Its return must not be delayed until operators act, as the other target may be back in a moment.
test('a request with an eligible target that is away for a moment may return soon', async () => {
  await addTarget('t0', 'a');
  await addTarget('t1', 'b');
  harness.fleet.evacuations.start('a');
  harness.fleet.targets.markRefused(harness.fleet.targets.get('t1')!);
  expect((await harness.run({})).result).toMatchObject(unavailable(0.25));
});

// The pool sends a request when a connection becomes free, which may be long after its placement.
test('a request that waits for a connection is not sent to a target that is evacuated meanwhile', async () => {
  const held = new Deferred<ServerResponse>();
  let requests = 0;
  const { address } = await harness.addTarget('t0', (_request, response) => {
    requests += 1;
    held.resolve(response);
  });
  harness.announce('t0', address, 'serving', { availabilityZone: 'a' });
  harness.connectionLimit = 1;
  const first = harness.run({});
  const response = await held.promise;
  const second = harness.run({});
  await delay(30);
  const other = await addTarget('t1', 'b');
  harness.fleet.evacuations.start('a');
  expect((await second).body).toBe('t1');
  response.writeHead(200, SIGNED);
  response.end('t0');
  expect((await first).body).toBe('t0');
  expect([requests, other.requests]).toEqual([1, 1]);
});

test('a request is not repeated at a target that is evacuated meanwhile', async () => {
  let requests = 0;
  const { address } = await harness.addTarget('t0', (_request, response) => {
    requests += 1;
    harness.fleet.evacuations.start('a');
    response.destroy();
  });
  harness.announce('t0', address, 'serving', { availabilityZone: 'a' });
  expect((await harness.run({ maximumTargets: 1 })).status).toBe(502);
  expect(requests).toBe(1);
});

test('a request reaches only targets in the allowed regions of its route', async () => {
  const north = await addTarget('t0', 'a');
  const south = await addTarget('t1', 'b');
  const unknown = await addTarget('t2', 'c');
  for (let request = 0; request < 6; request += 1) {
    await harness.run({ allowedRegions: ['south', 'west'] });
  }
  expect([north.requests, south.requests, unknown.requests]).toEqual([0, 6, 0]);
});

test('a request without a target in its allowed regions is refused at once', async () => {
  const north = await addTarget('t0', 'a');
  const view = await harness.run({ allowedRegions: ['south'] });
  expect(view).toMatchObject({ status: 503, result: unavailable(2) });
  expect(north.requests).toBe(0);
});

test('an empty list of allowed regions restricts nothing', async () => {
  await addTarget('t0', 'a');
  expect((await harness.run({ allowedRegions: [] })).status).toBe(200);
});

// A request may wait, or be repeated, for longer than a configuration takes to come into force.
test('a newer configuration restricts the next dispatch of a call under way', async () => {
  const other = await addTarget('t1', 'b');
  harness.fleet.evacuations.start('b');
  const { address } = await harness.addTarget('t0', (_request, response) => {
    harness.fleet.evacuations.end('b');
    harness.apply([{ allowedRegions: ['north'] }]);
    // Without the restriction, only the other target would remain.
    harness.fleet.targets.markRefused(harness.fleet.targets.get('t0')!);
    response.destroy();
  });
  harness.announce('t0', address, 'serving', { availabilityZone: 'a' });
  expect((await harness.run({ maximumTargets: 2 })).status).toBe(502);
  expect(other.requests).toBe(0);
});
