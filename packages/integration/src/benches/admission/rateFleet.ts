import type { SliceSource } from '@limpetnotch/admission';
import { RateLimiter, RateOwner, SLICE_LIFETIME_MILLISECONDS } from '@limpetnotch/admission';
import type { Rate } from '@limpetnotch/declarations';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { PARTITION_COUNT, partitionOf } from '@limpetnotch/partitions';
import { delay } from '@limpetnotch/supervision';
import { errAsync, ResultAsync } from 'neverthrow';

const CARRIAGE_MILLISECONDS = 1;

/** Options of a {@link RateFleet}. */
export interface RateFleetOptions {
  readonly entries: number;
  /** Instances that own the partitions, in equal parts. */
  readonly owners: number;
  readonly rate: Rate;
}

/** Entries and owners of rates in one process; messages between them take a millisecond each way. */
export class RateFleet {
  readonly metrics = new MemoryMetrics();

  readonly entries: readonly RateLimiter[];

  readonly #options: RateFleetOptions;

  readonly #owners: RateOwner[] = [];

  readonly #places: (string | undefined)[] = [];

  readonly #lost = new Set<string>();

  readonly #stop = new AbortController();

  constructor(options: RateFleetOptions) {
    this.#options = options;
    for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
      this.#own(partition, Date.now(), `owner-${partition % options.owners}`);
    }
    this.entries = Array.from({ length: options.entries }, (_, index) => this.#entry(index));
  }

  /** Exchanges between entries and owners so far; each is a message there and one back. */
  get exchanges(): number {
    return this.metrics.counter('rates.exchanges');
  }

  /** Loses one owner for good; its partitions get empty buckets elsewhere after its lease. */
  async loseOwner(owner: string, leaseMilliseconds: number): Promise<void> {
    const partitions = [...this.#places.keys()].filter((key) => this.#places[key] === owner);
    const leaseEnd = Date.now() + leaseMilliseconds;
    this.#lost.add(owner);
    await delay(leaseMilliseconds);
    for (const partition of partitions) {
      this.#own(partition, leaseEnd + SLICE_LIFETIME_MILLISECONDS, `successor-of-${owner}`);
    }
  }

  /** Ends the entries' tasks. */
  stop(): void {
    this.#stop.abort();
  }

  #own(partition: number, grantsFromMilliseconds: number, place: string): void {
    this.#places[partition] = place;
    this.#owners[partition] = new RateOwner({
      rateOf: () => this.#options.rate,
      grantsFromMilliseconds,
      mayAct: () => true,
      metrics: this.metrics,
    });
  }

  #entry(index: number): RateLimiter {
    const limiter = new RateLimiter({
      source: this.#source(`entry-${index}`),
      rateOf: () => this.#options.rate,
      groupOf: (organisation) => this.#places[partitionOf(organisation)],
      logger: silentLogger,
      metrics: this.metrics,
    });
    void limiter.asChild().run({ signal: this.#stop.signal, ready: () => undefined });
    return limiter;
  }

  #source(entry: string): SliceSource {
    return {
      exchange: (place, demands) => {
        if (this.#lost.has(place)) {
          return errAsync({ kind: 'owner-unreachable', reason: 'lost' });
        }
        const carried = delay(CARRIAGE_MILLISECONDS).then(async () => {
          const grants = demands.flatMap(
            (demand) =>
              this.#owners[partitionOf(demand.organisation)]?.exchange(entry, [demand]) ?? [],
          );
          await delay(CARRIAGE_MILLISECONDS);
          return grants;
        });
        return ResultAsync.fromSafePromise(carried);
      },
    };
  }
}
