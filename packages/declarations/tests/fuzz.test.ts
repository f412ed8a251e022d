import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import * as fc from 'fast-check';
import {
  checkDeclarations,
  CHUNK_PREFIX,
  ConfigurationFollower,
  ConfigurationPublisher,
  parseDeclarations,
  ROOT_KEY,
} from '../src';
import { exampleSet, exampleText } from './exampleSet';
import { MemoryStore } from './memoryStore';

const SEED = 20261205;

/** Text of the example with a span of it replaced by other text. */
const damagedText = fc
  .tuple(
    fc.nat({ max: exampleText().length }),
    fc.nat({ max: 12 }),
    fc.oneof(
      fc.string({ maxLength: 12 }),
      fc.constantFrom('&a', '*a', '{', '[', '---\n', '\t', '!!set', '? ', '|\n', '"', '\u0000'),
    ),
  )
  .map(([at, length, text]) => {
    const whole = exampleText();
    return whole.slice(0, at) + text + whole.slice(at + length);
  });

const damaged = (value: string, at: number, text: string): string => {
  const place = at % value.length;
  return value.slice(0, place) + text + value.slice(place + text.length);
};

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('damaged YAML gives a set or faults with a place and a cure, and never throws', () => {
  const property = fc.property(fc.oneof(damagedText, fc.string({ maxLength: 300 })), (text) => {
    const checked = checkDeclarations(parseDeclarations([{ path: 'set.yaml', text }]));
    if (checked.isOk()) return;
    expect(checked.error.length).toBeGreaterThan(0);
    for (const { file, line, message, cure } of checked.error) {
      expect(file).toBe('set.yaml');
      expect(line).toBeGreaterThan(0);
      expect(message).not.toBe('');
      expect(cure).not.toBe('');
    }
  });
  fc.assert(property, { seed: SEED, numRuns: 2_000, endOnFailure: true });
});

test('damaged stored values leave the last set in force, and mending them brings the next', async () => {
  const damage = fc.record({
    ofRoot: fc.boolean(),
    at: fc.nat(),
    text: fc.string({ minLength: 1, maxLength: 6 }),
  });
  const property = fc.asyncProperty(damage, async ({ ofRoot, at, text }) => {
    const store = new MemoryStore();
    const publisher = new ConfigurationPublisher(store);
    await publisher.publish({ configuration: exampleSet(1), author: 'rana' });
    const options = { store, logger: silentLogger, metrics: new MemoryMetrics() };
    const follower = new ConfigurationFollower(options);
    const controller = new AbortController();
    void follower.run({ signal: controller.signal, ready: () => undefined });
    await jest.advanceTimersByTimeAsync(1);
    const known = new Set(store.entries.keys());
    store.silentWatches = true;
    await publisher.publish({ configuration: exampleSet(2), author: 'rana' });
    const fresh = [...store.entries.values()].filter(
      ({ key }) => key === ROOT_KEY || (key.startsWith(CHUNK_PREFIX) && !known.has(key)),
    );
    const entry = ofRoot ? fresh.find(({ key }) => key === ROOT_KEY)! : fresh[at % fresh.length]!;
    const value = damaged(entry.value, at, text);
    store.put(entry.key, value);
    await jest.advanceTimersByTimeAsync(3_000);
    const weight = follower.current().organisations.get('amman')?.weight;
    // A root may be damaged in its author or time and still be a root of the same content.
    if (value !== entry.value && entry.key !== ROOT_KEY) expect(weight).toBe(1);
    expect([1, 2]).toContain(weight);
    store.put(entry.key, entry.value);
    await jest.advanceTimersByTimeAsync(3_000);
    const mended = follower.current();
    expect(mended.organisations.get('amman')?.weight).toBe(2);
    controller.abort();
    await jest.advanceTimersByTimeAsync(1);
  });
  await fc.assert(property, { seed: SEED, numRuns: 300, endOnFailure: true });
}, 60_000);
