import type { PrefixBlock } from '@limpetnotch/scheduling';
import { ENGINE, EngineModel } from '../src/experiments/engineModel';
import { EnginePrefixCache } from '../src/experiments/enginePrefixCache';
import { VirtualClock } from '../src/experiments/virtualClock';

const block = (digest: string, tokens: number): PrefixBlock => ({ digest, tokens });

const request = (name: string, promptTokens: number, outputTokens: number, priority = 0) => ({
  prefix: [block(`${name}.in`, promptTokens)],
  output: block(`${name}.out`, outputTokens),
  priority,
  onFirstToken: () => undefined,
});

test('a call alone takes its prefill and its steps', async () => {
  const clock = new VirtualClock();
  await clock.run(async () => {
    await new EngineModel(clock).submit(request('one', 512, 10));
  });
  const step = ENGINE.stepMilliseconds + ENGINE.decodeMilliseconds;
  const prefill = ENGINE.stepMilliseconds + 512 * ENGINE.prefillMilliseconds;
  expect(clock.now()).toBeCloseTo(prefill + 10 * step);
});

test('a batch slows each call, and the cache saves the prefill', async () => {
  const clock = new VirtualClock();
  const times: number[] = [];
  await clock.run(async () => {
    const engine = new EngineModel(clock);
    await engine.submit(request('one', 5_000, 50));
    times.push(clock.now());
    const again = await engine.submit(request('one', 5_000, 50));
    times.push(clock.now() - (times[0] ?? 0));
    expect(again).toMatchObject({ cachedTokens: 5_000 });
    await Promise.all([1, 2, 3, 4].map(() => engine.submit(request('one', 5_000, 50))));
    times.push(clock.now() - (times[0] ?? 0) - (times[1] ?? 0));
  });
  const [cold, warm, batch] = times as [number, number, number];
  expect(warm).toBeLessThan(cold - 5_000 * ENGINE.prefillMilliseconds + 1);
  expect(batch).toBeGreaterThan(warm);
});

test('a crash breaks calls and loses the cache', async () => {
  const clock = new VirtualClock();
  await clock.run(async () => {
    const engine = new EngineModel(clock);
    await engine.submit(request('one', 100, 1));
    const broken = engine.submit(request('two', 100, 100));
    engine.crash();
    expect(await broken).toEqual({ kind: 'broken' });
    expect(await engine.submit(request('one', 100, 1))).toEqual({ kind: 'not-sent' });
    engine.restart();
    expect(await engine.submit(request('one', 100, 1))).toMatchObject({ cachedTokens: 0 });
  });
});

test('the cache evicts the least recently used prefix, never one in use', () => {
  const cache = new EnginePrefixCache(1_000);
  cache.hold([block('running', 400)]);
  cache.store(block('old', 300));
  cache.store(block('new', 300));
  cache.store(block('newest', 300));
  expect(cache.cachedTokens([block('running', 400)])).toBe(400);
  expect(cache.cachedTokens([block('old', 300)])).toBe(0);
  expect(cache.cachedTokens([block('new', 300)])).toBe(300);
  expect(cache.fits([block('large', 601)])).toBe(false);
  expect(cache.fits([block('running', 400), block('large', 600)])).toBe(true);
});
