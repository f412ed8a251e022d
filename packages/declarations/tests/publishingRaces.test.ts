import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import * as fc from 'fast-check';
import {
  ConfigurationFollower,
  ConfigurationPublisher,
  decodeRoot,
  historyKey,
  ROOT_KEY,
} from '../src';
import type { ConfigurationRoot, PublishedRevision, PublishError } from '../src';
import { createExampleSet } from './createExampleSet';
import { MemoryStore } from './memoryStore';

const SEED = 20261204;
const RUNS = 100;
const SETTLE_MILLISECONDS = 60_000;
const APPLY_DEADLINE_MILLISECONDS = 3_000;

const LAST_ATTEMPT = { author: 'operator-last', weight: 99 };

type WriteOutcome = 'done' | 'refused' | 'lost' | 'late';

interface Attempt {
  readonly author: string;
  readonly weight: number;
  readonly startMilliseconds: number;
  readonly staleBase: boolean;
}

interface Outcome {
  readonly attempt: Attempt;
  readonly published: PublishedRevision | undefined;
  readonly error: PublishError | undefined;
}

interface StoreFault {
  readonly startMilliseconds: number;
  readonly kind: 'outage' | 'silentWatches' | 'silentReads';
  readonly durationMilliseconds: number;
}

const attemptArbitrary = fc.record({
  startMilliseconds: fc.integer({ min: 0, max: 2_000 }),
  staleBase: fc.boolean(),
});

const scenarioArbitrary = fc.record({
  attempts: fc.array(attemptArbitrary, { minLength: 2, maxLength: 8 }),
  writeOutcomes: fc.infiniteStream(
    fc.oneof(
      { weight: 6, arbitrary: fc.constant<WriteOutcome>('done') },
      { weight: 3, arbitrary: fc.constantFrom<WriteOutcome>('refused', 'lost', 'late') },
    ),
  ),
  delaysMilliseconds: fc.infiniteStream(fc.integer({ min: 0, max: 60 })),
  storeFaults: fc.array(
    fc.record<StoreFault>({
      startMilliseconds: fc.integer({ min: 0, max: 3_000 }),
      kind: fc.constantFrom('outage', 'silentWatches', 'silentReads'),
      durationMilliseconds: fc.integer({ min: 1, max: 1_500 }),
    }),
    { maxLength: 4 },
  ),
});

const wait = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

const scheduleFault = (
  store: MemoryStore,
  { startMilliseconds, kind, durationMilliseconds }: StoreFault,
): void => {
  setTimeout(() => Object.assign(store, { [kind]: true }), startMilliseconds);
  setTimeout(
    () => Object.assign(store, { [kind]: false }),
    startMilliseconds + durationMilliseconds,
  );
};

const attemptPublish = async (store: MemoryStore, attempt: Attempt): Promise<Outcome> => {
  await wait(attempt.startMilliseconds);
  const result = await new ConfigurationPublisher(store).publish({
    configuration: createExampleSet(attempt.weight),
    baseRevision: attempt.staleBase ? 0 : undefined,
    author: attempt.author,
  });
  return {
    attempt,
    published: result.isOk() ? result.value : undefined,
    error: result.isErr() ? result.error : undefined,
  };
};

const readRoots = (store: MemoryStore): ConfigurationRoot[] => {
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
    // A publish takes effect at most once, and exactly once if it reports success.
    expect(own.length).toBeLessThanOrEqual(1);
    if (published) {
      expect(own).toMatchObject([{ revision: published.revision, publishId: published.publishId }]);
    } else if (error?.kind !== 'outcome-unknown') {
      expect(own).toEqual([]);
    }
  }
};

const startFollowers = (
  store: MemoryStore,
  signal: AbortSignal,
): { follower: ConfigurationFollower; appliedRevisions: number[] }[] =>
  [1, 2].map(() => {
    const options = { store, logger: silentLogger, metrics: new MemoryMetrics() };
    const follower = new ConfigurationFollower(options);
    const appliedRevisions: number[] = [];
    follower.onChange(({ revision }) => appliedRevisions.push(revision));
    void follower.run({ signal, ready: () => undefined });
    return { follower, appliedRevisions };
  });

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('concurrent publishes and lost responses leave one consistent history, which followers apply', async () => {
  const property = fc.asyncProperty(scenarioArbitrary, async (scenario) => {
    const store = new MemoryStore();
    let hasFaults = true;
    let writeOutcome: WriteOutcome = 'done';
    store.beforeWrite = async () => {
      await wait(hasFaults ? scenario.delaysMilliseconds.next().value : 0);
      writeOutcome = hasFaults ? scenario.writeOutcomes.next().value : 'done';
    };
    store.refusesWrite = () => writeOutcome === 'refused';
    store.losesAnswer = () => writeOutcome === 'lost';
    store.delaysWrite = () => writeOutcome === 'late';
    scenario.storeFaults.forEach((fault) => scheduleFault(store, fault));
    const controller = new AbortController();
    const runningFollowers = startFollowers(store, controller.signal);
    const attempts = scenario.attempts.map((attempt, index) => ({
      ...attempt,
      author: `operator-${index}`,
      weight: index + 1,
    }));
    const running = Promise.all(attempts.map((attempt) => attemptPublish(store, attempt)));
    await jest.advanceTimersByTimeAsync(SETTLE_MILLISECONDS);
    hasFaults = false;
    const outcomes = await running;
    // The last change is published while the open watches are unresponsive.
    store.silentWatches = true;
    const last = { ...LAST_ATTEMPT, startMilliseconds: 0, staleBase: false };
    const lastOutcome = attemptPublish(store, last);
    await jest.advanceTimersByTimeAsync(APPLY_DEADLINE_MILLISECONDS);
    const roots = readRoots(store);
    checkOutcomes(roots, [...outcomes, await lastOutcome]);
    const { weight } = last;
    for (const { follower, appliedRevisions } of runningFollowers) {
      expect(follower.current().revision).toBe(roots.length);
      expect(follower.current().organisations.get('amman')?.weight).toBe(weight);
      expect(appliedRevisions).toEqual(
        [...new Set(appliedRevisions)].sort((one, other) => one - other),
      );
    }
    controller.abort();
    await jest.advanceTimersByTimeAsync(1);
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
}, 120_000);
