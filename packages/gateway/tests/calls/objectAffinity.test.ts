import type { RequestListener } from 'node:http';
import { CallHarness, SIGNED } from '../support/callHarness';

let harness = new CallHarness();
let requests: Record<string, number> = {};

/** Responds at once with the id of the target, and counts. */
const respond =
  (id: string): RequestListener =>
  (_request, response) => {
    requests[id] = (requests[id] ?? 0) + 1;
    response.writeHead(200, SIGNED);
    response.end(id);
  };

beforeEach(async () => {
  harness = new CallHarness();
  requests = {};
  for (const id of ['t0', 't1', 't2', 't3']) {
    const { address } = await harness.addTarget(id, respond(id));
    harness.announce(id, address, 'serving', { availabilityZone: id });
  }
});

afterEach(() => harness.close());

const runMany = async (hasSessionAffinity: boolean, objectKey: string | undefined) => {
  for (let request = 0; request < 6; request += 1) {
    await harness.run({ hasSessionAffinity }, 'r1', { objectKey });
  }
  return Object.values(requests);
};

/** Returns the target that serves the requests on an object. */
const findTarget = async (objectKey: string): Promise<string> =>
  (await harness.run({ hasSessionAffinity: true }, 'r1', { objectKey })).body;

test('requests on one object go to one target, those on others elsewhere', async () => {
  expect(await runMany(true, '17')).toEqual([6]);
  const found = new Set<string>();
  for (let key = 0; key < 24; key += 1) found.add(await findTarget(String(key)));
  expect(found.size).toBe(4);
});

test('a route without affinity ignores the object', async () => {
  await runMany(false, '17');
  expect(harness.metrics.counter('call.object-placements', { placement: 'object' })).toBe(0);
});

test('an object whose target is evacuated goes to one other target, and returns to it', async () => {
  const home = await findTarget('17');
  harness.fleet.evacuations.start(home);
  const others = new Set([await findTarget('17'), await findTarget('17')]);
  expect([...others]).toEqual([expect.not.stringMatching(home)]);
  harness.fleet.evacuations.end(home);
  expect(await findTarget('17')).toBe(home);
});

test('an object whose target restarts or is away for a moment goes elsewhere until it is back', async () => {
  const home = await findTarget('17');
  const target = harness.fleet.targets.get(home)!;
  harness.fleet.targets.remove(home);
  expect(await findTarget('17')).not.toBe(home);
  harness.fleet.targets.put({ ...target, bornMilliseconds: 9 });
  expect(await findTarget('17')).toBe(home);
});

test('the placement of a request on an object is counted', async () => {
  await findTarget('17');
  expect(harness.metrics.counter('call.object-placements', { placement: 'object' })).toBe(1);
});
