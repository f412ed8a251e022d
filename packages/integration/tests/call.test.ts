import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { LocalFleet, waitUntil } from '../src';
import { FIRST_SECRET, localDeclarations, MARKER, SECOND_SECRET } from './localDeclarations';

jest.setTimeout(60_000);

let fleet: LocalFleet;

beforeAll(async () => {
  fleet = await LocalFleet.start({
    instances: 2,
    engines: 2,
    engineSettings: { models: ['small'], tokensPerSecond: 500, markers: [MARKER] },
    declarations: localDeclarations(),
  });
});

afterAll(async () => fleet.stop());

interface CallOptions {
  readonly entry?: number;
  readonly secret?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly method?: 'GET' | 'POST' | 'DELETE';
}

const call = async (
  path: string,
  body: object | undefined,
  { entry = 0, secret = FIRST_SECRET, headers = {}, method = 'POST' }: CallOptions = {},
): Promise<Dispatcher.ResponseData> =>
  request(`${fleet.instances[entry]!.address}${path}`, {
    method,
    headers: {
      ...(secret === '' ? {} : { authorization: `Bearer ${secret}` }),
      'content-type': 'application/json',
      ...headers,
    },
    body: body === undefined ? null : JSON.stringify(body),
  });

const chat = (content: string, stream = true): object => ({
  model: 'small',
  stream,
  messages: [{ role: 'user', content }],
});

test('streams a complete response', async () => {
  const answer = await call('/v1/chat/completions', chat('hello [output=5]'));
  const text = await answer.body.text();
  expect(answer.statusCode).toBe(200);
  expect(answer.headers['content-type']).toMatch('text/event-stream');
  expect(text.match(/"content":"[^"]+/g)).toHaveLength(5);
  expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
});

test('returns a complete response in one body', async () => {
  const answer = await call('/v1/chat/completions', chat('hello [output=4]', false));
  expect(await answer.body.json()).toMatchObject({ usage: { completion_tokens: 4 } });
  expect(answer.trailers['limpetnotch-durability']).toBe('durable');
});

test('keeps the history of a program in order, for its organisation only', async () => {
  const headers = { 'limpetnotch-program': 'survey' };
  for (let turn = 0; turn < 3; turn += 1) {
    const answer = await call('/v1/chat/completions', chat(`turn ${turn} [output=2]`), {
      headers,
      entry: turn % 2,
    });
    await answer.body.text();
    expect(answer.headers['limpetnotch-sequence']).toBe(String(turn));
  }
  const path = '/limpetnotch/v1/programs/survey';
  const own = await call(path, undefined, { method: 'GET' });
  const program = (await own.body.json()) as { history: { sequence: number }[] };
  expect(program.history.map(({ sequence }) => sequence)).toEqual([0, 1, 2]);
  const foreign = await call(path, undefined, { method: 'GET', secret: SECOND_SECRET });
  const missing = await call(`${path}-none`, undefined, { method: 'GET', secret: SECOND_SECRET });
  expect(foreign.statusCode).toBe(404);
  expect(await foreign.body.json()).toEqual(await missing.body.json());
});

test('runs a non-idempotent call once and replays its response through any entry', async () => {
  const headers = { 'limpetnotch-program': 'charges', 'idempotency-key': 'deposit-1' };
  const before = fleet.tools.executions.length;
  const answers = await Promise.all(
    [0, 1, 0].map(async (entry) => call('/tools/charge', { amount: 150 }, { entry, headers })),
  );
  const bodies = await Promise.all(answers.map(async ({ body }) => body.text()));
  expect(new Set(bodies).size).toBe(1);
  expect(fleet.tools.executions).toHaveLength(before + 1);
  const other = await call('/tools/charge', { amount: 999 }, { headers });
  expect(other.statusCode).toBe(422);
  expect(await other.body.json()).toMatchObject({ executed: 'no' });
});

test('never repeats a non-idempotent call whose answer was lost', async () => {
  const headers = { 'limpetnotch-program': 'lost', 'idempotency-key': 'deposit-2' };
  await fleet.tools.setFaults({ failAfter: 1 });
  const before = fleet.tools.executions.length;
  const first = await call('/tools/charge', { amount: 1 }, { headers });
  const second = await call('/tools/charge', { amount: 1 }, { headers });
  expect(await first.body.json()).toMatchObject({ executed: 'unknown' });
  expect(await second.body.json()).toMatchObject({ executed: 'unknown' });
  expect(fleet.tools.executions).toHaveLength(before + 1);
});

test('ends a program whose budget is spent with a clear refusal', async () => {
  const headers = { 'limpetnotch-program': 'loop' };
  const statuses: number[] = [];
  for (let turn = 0; turn < 3; turn += 1) {
    const answer = await call('/tools/limited', { turn }, { headers });
    statuses.push(answer.statusCode);
    if (turn === 2) expect(await answer.body.json()).toMatchObject({ executed: 'no' });
    else await answer.body.dump();
  }
  expect(statuses).toEqual([200, 200, 402]);
});

test('rejects invalid requests with problem documents', async () => {
  const refused = await Promise.all([
    call('/v1/chat/completions', chat('no key'), { secret: '' }),
    call('/v1/chat/completions', chat('wrong key'), { secret: 'wrong' }),
    call('/nowhere', {}),
    call('/v1/chat/completions', { model: 'other', messages: [{ role: 'user', content: 'x' }] }),
    call('/v1/chat/completions', { model: 'small' }),
    call('/tools/charge', {}, { headers: { 'limpetnotch-program': '../other' } }),
  ]);
  expect(refused.map(({ statusCode }) => statusCode)).toEqual([401, 401, 404, 404, 400, 400]);
  const documents = await Promise.all(refused.map(async ({ body }) => body.json()));
  documents.forEach((document) => expect(document).toMatchObject({ executed: 'no' }));
});

test('serves an open route without a key', async () => {
  const answer = await call('/public/status', undefined, { secret: '', method: 'GET' });
  expect(answer.statusCode).toBe(200);
  await answer.body.dump();
});

test('frees the engine memory of a program that ended', async () => {
  const headers = { 'limpetnotch-program': 'memory' };
  const answer = await call('/v1/chat/completions', chat('remember this [output=2]'), { headers });
  await answer.body.text();
  const ended = await call('/limpetnotch/v1/programs/memory', undefined, { method: 'DELETE' });
  expect(ended.statusCode).toBe(200);
  await ended.body.dump();
  const freed = (): boolean =>
    fleet.instances.some(({ metrics }) => metrics.counter('cache-release.freed') > 0);
  await waitUntil('the memory is freed', 10_000, async () => Promise.resolve(freed()));
});

test('passes no key to a target, a log or a trace', async () => {
  const answer = await call('/tools/charge', { note: 'plain' }, { headers: { cookie: MARKER } });
  await answer.body.dump();
  const smuggled = await Promise.all([
    call('/tools/charge?API_KEY=second&note=kept', { note: 'query' }, { secret: '' }),
    call('/tools/charge', { note: 'odd case' }, { headers: { 'X-Api-KEY': FIRST_SECRET } }),
    call('/tools/charge', { note: FIRST_SECRET }),
    call(`/tools/charge/${FIRST_SECRET}`, { note: 'path' }),
    call('/tools/charge', { note: 'own header' }, { headers: { 'x-forward-note': FIRST_SECRET } }),
  ]);
  expect(smuggled.map(({ statusCode }) => statusCode)).toEqual([401, 400, 400, 400, 200]);
  await Promise.all(smuggled.map(async ({ body }) => body.dump()));
  expect(fleet.engines.map(({ recorder }) => recorder.sightings)).toEqual([0, 0]);
  expect(JSON.stringify(fleet.tools.recorder.requests)).not.toContain(MARKER);
  expect(fleet.instances.flatMap(({ logLines: lines }) => lines).join('')).not.toContain(MARKER);
  const spans = fleet.spans
    .getFinishedSpans()
    .map(({ name, attributes }) => ({ name, attributes }));
  expect(JSON.stringify(spans)).not.toContain(MARKER);
});

test('traces each hop of a call under one trace', async () => {
  const traceId = '4bf92f3577b34da6a3ce929d0e0e4736';
  const headers = { traceparent: `00-${traceId}-00f067aa0ba902b7-01` };
  const answer = await call('/tools/charge', { note: 'traced' }, { headers });
  await answer.body.dump();
  const names = (): string[] =>
    fleet.spans
      .getFinishedSpans()
      .filter((span) => span.spanContext().traceId === traceId)
      .map(({ name }) => name);
  await waitUntil('the spans are there', 10_000, async () => Promise.resolve(names().length === 6));
  expect(names().sort()).toEqual([
    'entry',
    'owner',
    'queue',
    'store.commit-intent',
    'store.commit-outcome',
    'target.attempt',
  ]);
  const received = fleet.tools.recorder.requests.at(-1);
  expect(received?.headers.traceparent).toMatch(`00-${traceId}-`);
});

test('cuts the open streams of a key that is withdrawn', async () => {
  const answer = await call('/v1/chat/completions', chat('a long answer [output=100000]'));
  const reading = answer.body.text();
  await fleet.publish(localDeclarations('withdrawn'));
  expect(await reading).toContain('urn:limpetnotch:problem:key-withdrawn');
  const next = await call('/v1/chat/completions', chat('again'));
  expect(next.statusCode).toBe(401);
  await next.body.dump();
});

test('refuses a body over the limit with a problem document', async () => {
  const answer = await call('/tools/charge', { padding: 'x'.repeat(5_000_000) });
  expect(answer.statusCode).toBe(413);
  expect(await answer.body.json()).toMatchObject({ executed: 'no' });
});
