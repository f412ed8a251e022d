import { request } from 'undici';
import { z } from 'zod';
import { EngineStandIn } from '../src';
import type { EngineSettings } from '../src';

const completionSchema = z.object({
  choices: z.array(
    z.object({ message: z.object({ content: z.string() }), finish_reason: z.string() }),
  ),
  usage: z.object({
    prompt_tokens: z.number(),
    completion_tokens: z.number(),
    prompt_tokens_details: z.object({ cached_tokens: z.number() }),
  }),
});

const chunkSchema = z.object({
  choices: z.array(
    z.object({
      delta: z.object({ content: z.string().optional() }),
      finish_reason: z.string().nullable(),
    }),
  ),
});

let engine: EngineStandIn;

const start = async (settings: Partial<EngineSettings> = {}): Promise<void> => {
  engine = new EngineStandIn({ tokensPerSecond: 2_000, prefillTokensPerSecond: 1e6, ...settings });
  await engine.start();
};

afterEach(() => engine.stop());

const post = (path: string, body: object, signal?: AbortSignal) =>
  request(`${engine.server.address}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    ...(signal ? { signal } : {}),
  });

const get = async (path: string): Promise<unknown> =>
  (await request(`${engine.server.address}${path}`)).body.json();

const sendChat = (content: string, more: object = {}, signal?: AbortSignal) =>
  post(
    '/v1/chat/completions',
    { model: 'small', messages: [{ role: 'user', content }], ...more },
    signal,
  );

const complete = async (content: string, more: object = {}) =>
  completionSchema.parse(await (await sendChat(content, more)).body.json());

const streamTokens = async (content: string, more: object = {}): Promise<string[]> => {
  const text = await (await sendChat(content, { stream: true, ...more })).body.text();
  const lines = text.split('\n\n').filter((line) => line.startsWith('data: {'));
  return lines.flatMap((line) => {
    const chunk = chunkSchema.parse(JSON.parse(line.slice('data: '.length)));
    return chunk.choices.flatMap(({ delta }) =>
      delta.content === undefined ? [] : [delta.content],
    );
  });
};

const waitUntil = async (condition: () => boolean): Promise<void> => {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
};

test('streams the same tokens as the buffered answer', async () => {
  await start();
  const answer = await complete('hello [output=40]');
  const tokens = await streamTokens('hello [output=40]');
  expect(tokens).toHaveLength(40);
  expect(tokens.join('')).toBe(answer.choices[0]?.message.content);
  expect(answer.usage.completion_tokens).toBe(40);
});

test('limits the answer to max_tokens', async () => {
  await start();
  const answer = await complete('hello [output=40]', { max_tokens: 7 });
  expect(answer.usage.completion_tokens).toBe(7);
  expect(answer.choices[0]?.finish_reason).toBe('length');
});

test('resumes an interrupted stream without a repeated or missing token', async () => {
  await start();
  const tokens = await streamTokens('hello [output=40]');
  const resume = { request_id: 'elsewhere', from_token: 25 };
  expect(await streamTokens('hello [output=40]', { resume })).toEqual(tokens.slice(25));
  await engine.setFaults({ resume: 'own' });
  expect((await sendChat('hello [output=40]', { resume })).statusCode).toBe(409);
});

test('counts the cached prefix of the next turn', async () => {
  await start();
  const first = await complete('first [output=20]', { session_id: 'a' });
  const messages = [
    { role: 'user', content: 'first [output=20]' },
    { role: 'assistant', content: first.choices[0]?.message.content },
    { role: 'user', content: 'second' },
  ];
  const second = await complete('', { messages });
  expect(first.usage.prompt_tokens_details.cached_tokens).toBe(0);
  expect(second.usage.prompt_tokens_details.cached_tokens).toBe(
    second.usage.prompt_tokens - (await complete('second')).usage.prompt_tokens,
  );
});

test('evicts the least recently used prefix', async () => {
  await start({ cacheTokens: 400 });
  const long = (name: string): string => `${name}${'x'.repeat(600)}[output=1]`;
  await complete(long('a'));
  await complete(long('b'));
  await complete(long('c'));
  expect((await complete(long('a'))).usage.prompt_tokens_details.cached_tokens).toBe(0);
  expect(engine.statistics().cacheTokens).toBeLessThanOrEqual(400);
});

test('publishes cache events late and with gaps', async () => {
  await start({ cacheEventDelayMilliseconds: 60_000, cacheEventLossRatio: 0.5, seed: 7 });
  for (let turn = 0; turn < 20; turn += 1) await complete(`prompt ${turn} [output=1]`);
  expect(await get('/v1/cache/events?after=0')).toEqual({ events: [], next: 0 });
  await engine.setFaults({ cacheEventDelayMilliseconds: 0 });
  const eventsSchema = z.object({ events: z.array(z.object({ sequence: z.number() })) });
  const { events } = eventsSchema.parse(await get('/v1/cache/events?after=0'));
  expect(events.length).toBeGreaterThan(5);
  expect(events.length).toBeLessThan(35);
  expect(events.at(-1)?.sequence).toBeGreaterThan(events.length);
});

test('runs the lower priority number first', async () => {
  await start({ maximumBatch: 1 });
  const finished: string[] = [];
  const run = async (name: string, priority: number): Promise<void> => {
    await complete(`${name} [output=20]`, { priority });
    finished.push(name);
  };
  const runs = [run('first', 5)];
  await waitUntil(() => engine.statistics().running === 1);
  // The first request continues only after both others are queued, however slow the machine is.
  await engine.setFaults({ hung: true });
  runs.push(run('late', 9));
  await waitUntil(() => engine.statistics().queued === 1);
  runs.push(run('urgent', 1));
  await waitUntil(() => engine.statistics().queued === 2);
  await engine.setFaults({ hung: false });
  await Promise.all(runs);
  expect(finished).toEqual(['first', 'urgent', 'late']);
});

test('cancels a request whose caller disconnects', async () => {
  await start({ tokensPerSecond: 10 });
  const controller = new AbortController();
  const asked = sendChat('long [output=10000]', { stream: true }, controller.signal);
  await waitUntil(() => engine.statistics().running === 1);
  controller.abort();
  await expect(asked).rejects.toThrow();
  await waitUntil(() => engine.statistics().running === 0);
  expect(engine.statistics().cancelled).toBe(1);
});

test('frees a session and refuses a stale fencing number', async () => {
  await start();
  await complete('hello', { session_id: 'program-1' });
  expect(await get('/v1/sessions')).toEqual({ sessions: ['program-1'] });
  const free = (fencing: number) =>
    post('/v1/orders', {
      fencing_number: fencing,
      order: { kind: 'free-session', session_id: 'program-1' },
    });
  expect((await free(4)).statusCode).toBe(200);
  expect(await get('/v1/sessions')).toEqual({ sessions: [] });
  const stale = await free(3);
  expect(stale.statusCode).toBe(409);
  expect(await stale.body.json()).toEqual({ error: 'stale-fencing-number', newest: 4 });
  await engine.setFaults({ fencing: 'ignored' });
  expect((await free(3)).statusCode).toBe(200);
});

test('crashes on a marked prompt and restarts with empty memory', async () => {
  await start({ restartMilliseconds: 20 });
  await complete('keep', { session_id: 'a' });
  await expect(
    sendChat('bad [crash=3]', { stream: true }).then(({ body }) => body.text()),
  ).rejects.toThrow();
  await waitUntil(() => engine.server.application.server.listening);
  expect(engine.statistics()).toMatchObject({ crashes: 1, sessions: [], cacheTokens: 0 });
  expect((await complete('again')).choices).toHaveLength(1);
});

test('reports load with a lag', async () => {
  await start({ tokensPerSecond: 10, loadLagMilliseconds: 60_000 });
  const controller = new AbortController();
  const asked = sendChat('long [output=1000]', {}, controller.signal).catch(() => undefined);
  await waitUntil(() => engine.statistics().running === 1);
  expect(await get('/v1/load')).toMatchObject({ running: 0, age_milliseconds: 60_000 });
  await engine.setFaults({ loadLagMilliseconds: 0 });
  expect(await get('/v1/load')).toMatchObject({ running: 1 });
  controller.abort();
  await asked;
});

test('counts markers in headers and bodies', async () => {
  await start({ markers: ['secret-1'] });
  await complete('hello');
  await complete('my secret-1');
  expect(engine.statistics()).toMatchObject({ received: 2, sightings: 1 });
});
