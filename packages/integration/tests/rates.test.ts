import { request } from 'undici';
import { computeKeyDigest, LocalFleet } from '../src';

jest.setTimeout(60_000);

const INSTANCES = 3;
const BURST = 20;
const REQUESTS_PER_SECOND = 10;
const SENDERS = 8;
const WINDOW_MILLISECONDS = 2_000;

const declarations = [
  `{ kind: organisation, name: flooding, spec: { rate: { requestsPerSecond: ${REQUESTS_PER_SECOND}, burst: ${BURST} } } }`,
  '{ kind: organisation, name: calm, spec: { rate: { requestsPerSecond: 50, burst: 50 } } }',
  `{ kind: key, name: flooding-key, spec: { organisation: flooding, digest: "${computeKeyDigest('flooding-secret')}" } }`,
  `{ kind: key, name: calm-key, spec: { organisation: calm, digest: "${computeKeyDigest('calm-secret')}" } }`,
  `{ kind: route, name: quote, spec: { path: /tools/quote, idempotent: true,
     service: { kind: service }, targets: [tools-1] } }`,
].join('\n---\n');

let fleet: LocalFleet;

beforeAll(async () => {
  fleet = await LocalFleet.start({
    instances: INSTANCES,
    engines: 1,
    engineSettings: { models: ['small'] },
    declarations,
  });
});

afterAll(async () => fleet.stop());

interface SendResult {
  readonly status: number;
  readonly retryAfter: string | undefined;
}

const send = async (entry: number, secret: string): Promise<SendResult> => {
  const response = await request(`${fleet.instances[entry]!.address}/tools/quote`, {
    method: 'POST',
    headers: { authorization: `Bearer ${secret}`, 'content-type': 'application/json' },
    body: '{}',
  });
  await response.body.dump();
  return { status: response.statusCode, retryAfter: response.headers['retry-after'] as string };
};

/** Sends each request as soon as the previous one is answered, until a time. */
const flood = async (entry: number, until: number): Promise<readonly SendResult[]> => {
  const results: SendResult[] = [];
  while (performance.now() < until) results.push(await send(entry, 'flooding-secret'));
  return results;
};

test('a flood through all entries gets no more than its rate and burst', async () => {
  const startedAt = performance.now();
  const until = startedAt + WINDOW_MILLISECONDS;
  const senders = Array.from({ length: SENDERS }, async (_, index) =>
    flood(index % INSTANCES, until),
  );
  const calm = Array.from({ length: 20 }, async (_, index) =>
    send(index % INSTANCES, 'calm-secret'),
  );
  const results = (await Promise.all(senders)).flat();
  const calmResults = await Promise.all(calm);
  const seconds = (performance.now() - startedAt) / 1_000;
  const admitted = results.filter(({ status }) => status === 200);
  expect(admitted.length).toBeGreaterThan(0);
  expect(admitted.length).toBeLessThanOrEqual(BURST + REQUESTS_PER_SECOND * seconds);
  const refused = results.filter(({ status }) => status !== 200);
  // On a busy machine all requests may be queued briefly instead of refused.
  refused.forEach(({ status, retryAfter }) => {
    expect(status).toBe(429);
    expect(Number(retryAfter)).toBeGreaterThanOrEqual(1);
  });
  expect(calmResults.map(({ status }) => status)).toEqual(Array(20).fill(200));
});
