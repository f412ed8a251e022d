import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import * as fc from 'fast-check';
import {
  ConfigurationFollower,
  ConfigurationPublisher,
  decodeRoot,
  historyKey,
  ROOT_KEY,
} from '../src';
import type { ConfigurationRoot, Published, PublishError } from '../src';
import { exampleSet } from './exampleSet';
import { MemoryStore } from './memoryStore';

const SEED = 20261204;
const RUNS = 100;
const CALM_MILLISECONDS = 60_000;
const FORCE_MILLISECONDS = 3_000;

const LAST_ATTEMPT = { author: 'operator-last', weight: 99 };

type Fate = 'done' | 'refused' | 'lost' | 'late';

interface Attempt {
  readonly author: string;
  readonly weight: number;
  readonly startsAt: number;
  readonly staleBase: boolean;
}

interface Outcome {
  readonly attempt: Attempt;
  readonly published: Published | undefined;
  readonly error: PublishError | undefined;
}

interface Disturbance {
  readonly at: number;
  readonly kind: 'outage' | 'silentWatches' | 'silentReads';
  readonly lasts: number;
}

const attemptArbitrary = fc.record({
  startsAt: fc.integer({ min: 0, max: 2_000 }),
  staleBase: fc.boolean(),
});

const scenarioArbitrary = fc.record({
  attempts: fc.array(attemptArbitrary, { minLength: 2, maxLength: 8 }),
  fates: fc.infiniteStream(
    fc.oneof(
      { weight: 6, arbitrary: fc.constant<Fate>('done') },
      { weight: 3, arbitrary: fc.constantFrom<Fate>('refused', 'lost', 'late') },
    ),
  ),
  pauses: fc.infiniteStream(fc.integer({ min: 0, max: 60 })),
  disturbances: fc.array(
    fc.record<Disturbance>({
      at: fc.integer({ min: 0, max: 3_000 }),
      kind: fc.constantFrom('outage', 'silentWatches', 'silentReads'),
      lasts: fc.integer({ min: 1, max: 1_500 }),
    }),
    { maxLength: 4 },
  ),
});

const later = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

const disturb = (store: MemoryStore, { at, kind, lasts }: Disturbance): void => {
  setTimeout(() => Object.assign(store, { [kind]: true }), at);
  setTimeout(() => Object.assign(store, { [kind]: false }), at + lasts);
};

const attemptPublish = async (store: MemoryStore, attempt: Attempt): Promise<Outcome> => {
  await later(attempt.startsAt);
  const result = await new ConfigurationPublisher(store).publish({
    configuration: exampleSet(attempt.weight),
    baseRevision: attempt.staleBase ? 0 : undefined,
    author: attempt.author,
  });
  return {
    attempt,
    published: result.isOk() ? result.value : undefined,
    error: result.isErr() ? result.error : undefined,
  };
};

const rootsOf = (store: MemoryStore): ConfigurationRoot[] => {
  const value = store.entries.get(ROOT_KEY)?.value;
  if (value === undefined) return [];
  const current = decodeRoot(value)._unsafeUnwrap();
  const earlier = Array.from({ length: current.revision - 1 }, (_item, index) =>
    decodeRoot(store.entries.get(historyKey(index + 1))!.value)._unsafeUnwrap(),
  );
  return [...earlier, current];
};

const checkOutcomes = (roots: readonly ConfigurationRoot[], outcomes: readonly Outcome[]): void => {
  expect(roots.map(({ revision }) => revision)).toEqual(roots.map((_root, index) => index + 1));
  for (const { attempt, published, error } of outcomes) {
    const own = roots.filter(({ author }) => author === attempt.author);
    // A publish takes effect at most once, and exactly once where it says so.
    expect(own.length).toBeLessThanOrEqual(1);
    if (published) {
      expect(own).toMatchObject([{ revision: published.revision, publishId: published.publishId }]);
    } else if (error?.kind !== 'outcome-unknown') {
      expect(own).toEqual([]);
    }
  }
};

const followers = (
  store: MemoryStore,
  signal: AbortSignal,
): { follower: ConfigurationFollower; seen: number[] }[] =>
  [1, 2].map(() => {
    const options = { store, logger: silentLogger, metrics: new MemoryMetrics() };
    const follower = new ConfigurationFollower(options);
    const seen: number[] = [];
    follower.onChange(({ revision }) => seen.push(revision));
    void follower.run({ signal, ready: () => undefined });
    return { follower, seen };
  });

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('racing operators and lost answers leave one true history, which followers reach', async () => {
  const property = fc.asyncProperty(scenarioArbitrary, async (scenario) => {
    const store = new MemoryStore();
    let faulty = true;
    let fate: Fate = 'done';
    store.beforeWrite = async () => {
      await later(faulty ? scenario.pauses.next().value : 0);
      fate = faulty ? scenario.fates.next().value : 'done';
    };
    store.refusesWrite = () => fate === 'refused';
    store.losesAnswer = () => fate === 'lost';
    store.delaysWrite = () => fate === 'late';
    scenario.disturbances.forEach((disturbance) => disturb(store, disturbance));
    const controller = new AbortController();
    const following = followers(store, controller.signal);
    const attempts = scenario.attempts.map((attempt, index) => ({
      ...attempt,
      author: `operator-${index}`,
      weight: index + 1,
    }));
    const running = Promise.all(attempts.map((attempt) => attemptPublish(store, attempt)));
    await jest.advanceTimersByTimeAsync(CALM_MILLISECONDS);
    faulty = false;
    const outcomes = await running;
    // The last change comes while the open watches are silent.
    store.silentWatches = true;
    const last = { ...LAST_ATTEMPT, startsAt: 0, staleBase: false };
    const lastOutcome = attemptPublish(store, last);
    await jest.advanceTimersByTimeAsync(FORCE_MILLISECONDS);
    const roots = rootsOf(store);
    checkOutcomes(roots, [...outcomes, await lastOutcome]);
    const { weight } = last;
    for (const { follower, seen } of following) {
      expect(follower.current().revision).toBe(roots.length);
      expect(follower.current().organisations.get('amman')?.weight).toBe(weight);
      expect(seen).toEqual([...new Set(seen)].sort((one, other) => one - other));
    }
    controller.abort();
    await jest.advanceTimersByTimeAsync(1);
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
}, 120_000);
