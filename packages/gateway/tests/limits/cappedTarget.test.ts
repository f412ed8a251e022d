import type { RequestListener } from 'node:http';
import type { CallerView } from '../support/callHarness';
import { CallHarness, SIGNED } from '../support/callHarness';

let harness = new CallHarness();

beforeEach(() => {
  harness = new CallHarness();
});

afterEach(() => harness.close());

/** Responds to all requests after 5 ms, names a limit, and counts. */
const countingTarget = (limit: number | undefined, status = 200) => {
  const counted = { requests: 0, limit };
  const handle: RequestListener = (_request, response) => {
    counted.requests += 1;
    const named = counted.limit === undefined ? {} : { 'x-limit': String(counted.limit) };
    setTimeout(() => {
      response.writeHead(status, { ...SIGNED, ...named });
      response.end('done');
    }, 5);
  };
  return { counted, handle };
};

const runMany = async (count: number): Promise<readonly CallerView[]> => {
  const views: Promise<CallerView>[] = [];
  for (let request = 0; request < count; request += 1) {
    views.push(harness.run({}));
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  return Promise.all(views);
};

test('requests beyond the limit of a target go to targets with room', async () => {
  const capped = countingTarget(2);
  const free = countingTarget(undefined);
  await harness.addTarget('capped', capped.handle);
  await harness.run({});
  await harness.addTarget('free', free.handle);
  const views = await runMany(60);
  expect(views.map(({ status }) => status)).toEqual(Array.from({ length: 60 }, () => 200));
  expect(capped.counted.requests).toBeLessThanOrEqual(5);
});

test('requests that the limits can not take are refused at once with a time to return', async () => {
  const capped = countingTarget(0.5);
  await harness.addTarget('capped', capped.handle);
  await harness.run({});
  const views = await runMany(30);
  const refused = views.filter(({ status }) => status === 503);
  expect(capped.counted.requests).toBeLessThanOrEqual(4);
  expect(refused.length).toBeGreaterThanOrEqual(25);
  const refusals = refused.map(({ result }) =>
    result.kind === 'refused' ? result.refusal : undefined,
  );
  refusals.forEach((refusal) =>
    expect(refusal).toMatchObject({ kind: 'unavailable', reason: 'targets are at their limits' }),
  );
  expect(refused.filter(({ milliseconds }) => milliseconds < 200).length).toBeGreaterThan(20);
});

test('declined requests count towards the limit', async () => {
  const capped = countingTarget(0.5, 503);
  const handle: RequestListener = (request, response) => {
    response.setHeader('x-not-run', '1');
    capped.handle(request, response);
  };
  await harness.addTarget('capped', handle);
  await harness.run({});
  await runMany(20);
  expect(capped.counted.requests).toBeLessThanOrEqual(4);
});

test('a repeat at the same target takes a token', async () => {
  let requests = 0;
  await harness.addTarget('capped', (_request, response) => {
    requests += 1;
    response.writeHead(200, { ...SIGNED, 'x-limit': '0.5' });
    response.write('id: 1\ndata: a\n\nid: 2\nda');
    setTimeout(() => response.destroy(), 20);
  });
  const execution = {
    kind: 'event-stream',
    isResumable: true,
    maximumGapMilliseconds: 200,
  } as const;
  await Promise.all([1, 2, 3].map(() => harness.run({ execution })));
  expect(requests).toBeLessThanOrEqual(5);
});

test('the end of a limit frees the target', async () => {
  const capped = countingTarget(4);
  await harness.addTarget('capped', capped.handle);
  await harness.run({});
  capped.counted.limit = undefined;
  const before = await runMany(100);
  const after = before.slice(-20).map(({ status }) => status);
  expect(after).toEqual(Array.from({ length: 20 }, () => 200));
});

test('a request that waits for a limit ends when its instance shuts down or its caller leaves', async () => {
  const capped = countingTarget(1);
  await harness.addTarget('capped', capped.handle);
  await harness.run({});
  const views = await runMany(5);
  const lines = harness.logLines.filter(([message]) => message === 'limits.refused');
  const refused = views.filter(({ status }) => status === 503);
  expect(lines.length).toBe(refused.length);
});
