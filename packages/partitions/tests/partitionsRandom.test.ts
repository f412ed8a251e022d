import * as fc from 'fast-check';
import { parseHead } from '../src/partitionHead';
import type { Instance } from './support/fleet';
import { Fleet } from './support/fleet';

const PARTITIONS = 3;
const INSTANCES = 4;
/** Deferred records are guaranteed to outlive the owner and one witness. */
const MAXIMUM_DEPARTURES = 2;
/** Longest time that a drain without calls in progress may take. */
const DRAIN_MILLISECONDS = 20_000;
/** The environment sets other seeds and more runs for longer test runs. */
const SEED = Number(process.env.PARTITION_SEED ?? 20_261_204);
const RUNS = Number(process.env.PARTITION_RUNS ?? 40);

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

type Command =
  | { readonly kind: 'append'; readonly partition: number; readonly burst: number }
  | { readonly kind: 'advance'; readonly milliseconds: number }
  | { readonly kind: 'outage'; readonly milliseconds: number }
  | { readonly kind: 'expire-leases' }
  | { readonly kind: 'lose-store'; readonly instance: number }
  | { readonly kind: 'lose-peers'; readonly instance: number }
  | { readonly kind: 'lose-answers'; readonly instance: number; readonly count: number }
  | { readonly kind: 'slow'; readonly instance: number; readonly milliseconds: number }
  | { readonly kind: 'silence-watch'; readonly instance: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'kill'; readonly instance: number }
  | { readonly kind: 'drain'; readonly instance: number }
  | { readonly kind: 'start' };

const instance = fc.nat({ max: INSTANCES - 1 });
const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('append' as const),
      partition: fc.nat({ max: PARTITIONS - 1 }),
      burst: fc.integer({ min: 1, max: 4 }),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.oneof(fc.nat({ max: 50 }), fc.nat({ max: 1_500 }), fc.nat({ max: 8_000 })),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('outage' as const),
      milliseconds: fc.integer({ min: 500, max: 30_000 }),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: 'expire-leases' as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('lose-store' as const), instance }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose-peers' as const), instance }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('lose-answers' as const),
      instance,
      count: fc.integer({ min: 1, max: 4 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('slow' as const),
      instance,
      milliseconds: fc.integer({ min: 50, max: 4_000 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('silence-watch' as const), instance }) },
  { weight: 4, arbitrary: fc.constant({ kind: 'heal' as const }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill' as const), instance }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drain' as const), instance }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'start' as const }) },
);

/** One random run: the fleet and the results that its callers received. */
class Run {
  readonly #fleet = new Fleet(PARTITIONS, { inlineBytes: 60, segmentsBeforeSnapshot: 2 });

  /** Acknowledged records of each partition, in the order of the acknowledgements. */
  readonly #acknowledged = Array.from({ length: PARTITIONS }, (): string[] => []);

  /** Number of appends that are not yet resolved. */
  #openAppends = 0;

  readonly #lateAcknowledgements: string[] = [];

  #records = 0;

  #departures = 0;

  async start(): Promise<void> {
    for (let number = 0; number < INSTANCES; number += 1) this.#fleet.start();
    await jest.advanceTimersByTimeAsync(12_000);
  }

  async execute(next: Command): Promise<void> {
    switch (next.kind) {
      case 'append':
        for (let number = 0; number < next.burst; number += 1) this.#append(next.partition);
        break;
      case 'advance':
        await jest.advanceTimersByTimeAsync(next.milliseconds);
        break;
      case 'outage':
        this.#setStoreDown(true);
        await jest.advanceTimersByTimeAsync(next.milliseconds);
        this.#append(0);
        await jest.advanceTimersByTimeAsync(500);
        break;
      case 'expire-leases':
        this.#fleet.store.expireLeases();
        break;
      case 'lose-store':
        this.#getLivingInstance(next.instance).faults.isDown = true;
        break;
      case 'lose-peers':
        this.#getLivingInstance(next.instance).isIsolated = true;
        break;
      case 'lose-answers':
        this.#getLivingInstance(next.instance).faults.lostAnswers = next.count;
        break;
      case 'slow':
        this.#getLivingInstance(next.instance).faults.latencyMilliseconds = next.milliseconds;
        break;
      case 'silence-watch':
        this.#getLivingInstance(next.instance).faults.isWatchStalled = true;
        break;
      case 'heal':
        this.#heal();
        break;
      case 'kill':
        await this.#depart(next.instance, (leaving) => {
          leaving.kill();
          return Promise.resolve();
        });
        break;
      case 'drain':
        await this.#depart(next.instance, async (leaving) => {
          let isDrained = false;
          void leaving.manager.drain().finally(() => {
            isDrained = true;
          });
          await jest.advanceTimersByTimeAsync(DRAIN_MILLISECONDS);
          expect(isDrained).toBe(true);
          leaving.kill();
        });
        break;
      case 'start':
        if (this.#fleet.instances.length < INSTANCES + MAXIMUM_DEPARTURES) this.#fleet.start();
        break;
      // no default
    }
  }

  /** Ends all faults, then compares the stored records with the results that callers received. */
  async check(): Promise<void> {
    this.#heal();
    await jest.advanceTimersByTimeAsync(60_000);
    expect(this.#openAppends).toBe(0);
    expect(this.#lateAcknowledgements).toEqual([]);
    this.#checkHeads();
    for (let partition = 0; partition < PARTITIONS; partition += 1) this.#checkRecords(partition);
    const failures = this.#fleet.instances.map(({ metrics }) =>
      metrics.counter('partition.assertion-failures'),
    );
    expect(failures).toEqual(failures.map(() => 0));
    this.#listLiving().forEach((living) => living.kill());
    await jest.advanceTimersByTimeAsync(DRAIN_MILLISECONDS);
  }

  #append(partition: number): void {
    const owners = this.#fleet.instances.filter((owner) => owner.owns(partition));
    // During a takeover the previous owner may still accept calls, so each owner receives one.
    owners.forEach((owner) => {
      const state = owner.states.get(partition)!;
      this.#records += 1;
      const record = `${partition}-${this.#records}`;
      this.#openAppends += 1;
      void state.append(record).then((result) => {
        this.#openAppends -= 1;
        if (result.isErr()) return;
        this.#acknowledged[partition]!.push(record);
        const isDeposed = state.epoch !== this.#fleet.newestEpoch(partition);
        if (isDeposed) this.#lateAcknowledgements.push(record);
      });
    });
  }

  #checkHeads(): void {
    const last = new Map<string, { epoch: number; recordCount: number }>();
    this.#fleet.store.headHistory.forEach(({ key, value }) => {
      const { epoch, recordCount } = parseHead(value)._unsafeUnwrap();
      const before = last.get(key) ?? { epoch: 0, recordCount: 0 };
      expect(epoch).toBeGreaterThanOrEqual(before.epoch);
      expect(recordCount).toBeGreaterThanOrEqual(before.recordCount);
      last.set(key, { epoch, recordCount });
    });
  }

  #checkRecords(partition: number): void {
    const owner = this.#fleet.ownerOf(partition);
    expect(owner).toBeDefined();
    const { records } = owner!.states.get(partition)!;
    expect(new Set(records).size).toBe(records.length);
    const acknowledged = this.#acknowledged[partition]!;
    const kept = records.filter((record) => acknowledged.includes(record as string));
    expect(kept).toEqual(acknowledged);
  }

  #getLivingInstance(number: number): Instance {
    const living = this.#listLiving();
    return living[number % living.length]!;
  }

  #listLiving(): readonly Instance[] {
    return this.#fleet.instances.filter(({ isDead }) => !isDead);
  }

  #setStoreDown(isDown: boolean): void {
    this.#listLiving().forEach(({ faults }) => Object.assign(faults, { isDown }));
  }

  #heal(): void {
    this.#listLiving().forEach((living) => living.heal());
  }

  async #depart(number: number, leave: (leaving: Instance) => Promise<unknown>): Promise<void> {
    if (this.#departures === MAXIMUM_DEPARTURES) return;
    this.#departures += 1;
    await leave(this.#getLivingInstance(number));
  }
}

test('no acknowledged record is lost, repeated or reordered, and epochs never interleave', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(command, { maxLength: 30, size: 'max' }), async (commands) => {
      const run = new Run();
      await run.start();
      for (const next of commands) await run.execute(next);
      await run.check();
      jest.clearAllTimers();
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
}, 120_000);
