import type { RequestListener } from 'node:http';
import { CallHarness, SIGNED } from '../support/callHarness';

const LEAVING = { 'x-leaving': '1' };

let harness = new CallHarness();

beforeEach(() => {
  harness = new CallHarness();
});

afterEach(() => harness.close());

/** Responds with a status and headers, and counts the requests. */
const countingTarget = (status: number, headers: Record<string, string>) => {
  const counted = { requests: 0 };
  const handle: RequestListener = (_request, response) => {
    counted.requests += 1;
    response.writeHead(status, headers);
    response.end('done');
  };
  return { counted, handle };
};

const getServingIds = (): string[] => harness.fleet.targets.getServing('s').map(({ id }) => id);

test('a target that announces in a response that it is leaving gets no new requests', async () => {
  const leaving = countingTarget(200, { ...SIGNED, ...LEAVING });
  await harness.addTarget('t0', leaving.handle);
  expect((await harness.run({})).status).toBe(200);
  const other = countingTarget(200, SIGNED);
  await harness.addTarget('t1', other.handle);
  for (let request = 0; request < 6; request += 1) await harness.run({});
  expect([leaving.counted.requests, other.counted.requests]).toEqual([1, 6]);
});

test.each([
  ['a failure', 500, { 'x-id': 'r1' }],
  ['a decline', 503, { 'x-not-run': '1' }],
])('%s can announce that its target is leaving, too', async (_name, status, headers) => {
  const leaving = countingTarget(status, { ...headers, ...LEAVING });
  await harness.addTarget('t0', leaving.handle);
  await harness.run({ execution: { kind: 'at-most-once' } });
  expect(getServingIds()).toEqual([]);
});

test('a stream announces that its target is leaving before the stream ends', async () => {
  let finish = (): void => undefined;
  await harness.addTarget('t0', (_request, response) => {
    response.writeHead(200, { ...SIGNED, ...LEAVING });
    response.write('id: 1\ndata: a\n\n');
    finish = () => response.end('id: 2\ndata: b\n\n');
  });
  const running = harness.run({
    execution: { kind: 'event-stream', isResumable: true, maximumGapMilliseconds: 200 },
  });
  while (getServingIds().length > 0) await new Promise(setImmediate);
  finish();
  expect((await running).body).toBe('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
});

test('an announcement of another target at the address does not affect the intended one', async () => {
  const other = countingTarget(421, LEAVING);
  const { address } = await harness.addTarget('t0', other.handle);
  await harness.run({ execution: { kind: 'at-most-once' } });
  harness.announce('t0', address, 'serving');
  expect(getServingIds()).toEqual(['t0']);
});

test('a late response to another request does not mark the target as leaving', async () => {
  const late = countingTarget(200, { ...SIGNED, ...LEAVING, 'x-id': 'other' });
  await harness.addTarget('t0', late.handle);
  await harness.run({ execution: { kind: 'at-most-once' } });
  expect(getServingIds()).toEqual(['t0']);
});

test('a leaving target is logged once, with the request that announced it', async () => {
  const leaving = countingTarget(200, { ...SIGNED, ...LEAVING });
  await harness.addTarget('t0', leaving.handle);
  await Promise.all([harness.run({}), harness.run({})]);
  const lines = harness.logLines.filter(([message]) => message === 'targets.leaving');
  expect(lines).toEqual([
    ['targets.leaving', expect.objectContaining({ target: 't0', request: 'r1' })],
  ]);
});
