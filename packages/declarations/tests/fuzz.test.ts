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
import { createExampleSet, createExampleText } from './createExampleSet';
import { MemoryStore } from './memoryStore';

const SEED = 20261205;

/** Text of the example with a span of it replaced by arbitrary text. */
const damagedTextArbitrary = fc
  .tuple(
    fc.nat({ max: createExampleText().length }),
    fc.nat({ max: 12 }),
    fc.oneof(
      fc.string({ maxLength: 12 }),
      fc.constantFrom('&a', '*a', '{', '[', '---\n', '\t', '!!set', '? ', '|\n', '"', '\u0000'),
    ),
  )
  .map(([at, length, text]) => {
    const original = createExampleText();
    return original.slice(0, at) + text + original.slice(at + length);
  });

const overwrite = (value: string, at: number, text: string): string => {
  const offset = at % value.length;
  return value.slice(0, offset) + text + value.slice(offset + text.length);
};

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('damaged YAML yields a configuration or faults with a line and a cure, and never throws', () => {
  const property = fc.property(
    fc.oneof(damagedTextArbitrary, fc.string({ maxLength: 300 })),
    (text) => {
      const checked = checkDeclarations(parseDeclarations([{ path: 'set.yaml', text }]));
      if (checked.isOk()) return;
      expect(checked.error.length).toBeGreaterThan(0);
      for (const { file, line, message, cure } of checked.error) {
        expect(file).toBe('set.yaml');
        expect(line).toBeGreaterThan(0);
        expect(message).not.toBe('');
        expect(cure).not.toBe('');
      }
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 2_000, endOnFailure: true });
});

test('damaged stored values leave the last configuration in force until they are repaired', async () => {
  const damage = fc.record({
    damagesRoot: fc.boolean(),
    at: fc.nat(),
    text: fc.string({ minLength: 1, maxLength: 6 }),
  });
  const property = fc.asyncProperty(damage, async ({ damagesRoot: ofRoot, at, text }) => {
    const store = new MemoryStore();
    const publisher = new ConfigurationPublisher(store);
    await publisher.publish({ configuration: createExampleSet(1), author: 'rana' });
    const options = { store, logger: silentLogger, metrics: new MemoryMetrics() };
    const follower = new ConfigurationFollower(options);
    const controller = new AbortController();
    void follower.run({ signal: controller.signal, ready: () => undefined });
    await jest.advanceTimersByTimeAsync(1);
    const keysBefore = new Set(store.entries.keys());
    store.silentWatches = true;
    await publisher.publish({ configuration: createExampleSet(2), author: 'rana' });
    const newEntries = [...store.entries.values()].filter(
      ({ key }) => key === ROOT_KEY || (key.startsWith(CHUNK_PREFIX) && !keysBefore.has(key)),
    );
    const entry = ofRoot
      ? newEntries.find(({ key }) => key === ROOT_KEY)!
      : newEntries[at % newEntries.length]!;
    const value = overwrite(entry.value, at, text);
    store.put(entry.key, value);
    await jest.advanceTimersByTimeAsync(3_000);
    const weight = follower.current().organisations.get('amman')?.weight;
    // A root whose author or time is damaged is still valid and has the same content.
    if (value !== entry.value && entry.key !== ROOT_KEY) expect(weight).toBe(1);
    expect([1, 2]).toContain(weight);
    store.put(entry.key, entry.value);
    await jest.advanceTimersByTimeAsync(3_000);
    const repaired = follower.current();
    expect(repaired.organisations.get('amman')?.weight).toBe(2);
    controller.abort();
    await jest.advanceTimersByTimeAsync(1);
  });
  await fc.assert(property, { seed: SEED, numRuns: 300, endOnFailure: true });
}, 60_000);
