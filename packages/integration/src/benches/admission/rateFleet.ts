import type { SliceSource } from '@limpetnotch/admission';
import { RateLimiter, RateOwner, SLICE_LIFETIME_MILLISECONDS } from '@limpetnotch/admission';
import type { Rate } from '@limpetnotch/declarations';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { PARTITION_COUNT, partitionOf } from '@limpetnotch/partitions';
import { delay } from '@limpetnotch/supervision';
import { errAsync, ResultAsync } from 'neverthrow';

const MESSAGE_DELAY_MILLISECONDS = 1;

/** Options of a {@link RateFleet}. */
export interface RateFleetOptions {
  readonly entries: number;
  /** Number of instances that own the partitions, in equal shares. */
  readonly owners: number;
  readonly rate: Rate;
}

/** Entries and rate owners in one process; a message between them takes 1 ms each way. */
export class RateFleet {
  readonly metrics = new MemoryMetrics();

  readonly entries: readonly RateLimiter[];

  readonly #options: RateFleetOptions;

  readonly #owners: RateOwner[] = [];

  readonly #ownerNames: (string | undefined)[] = [];

  readonly #removedOwners = new Set<string>();

  readonly #stop = new AbortController();

  constructor(options: RateFleetOptions) {
    this.#options = options;
    for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
      this.#assignPartition(partition, Date.now(), `owner-${partition % options.owners}`);
    }
    this.entries = Array.from({ length: options.entries }, (_, index) => this.#createEntry(index));
  }

  /** Number of exchanges between entries and owners so far; each is a request and a reply. */
  get exchanges(): number {
    return this.metrics.counter('rates.exchanges');
  }

  /**
   * Removes an owner permanently. Once its lease has expired, a successor owns its partitions and
   * starts with empty buckets.
   */
  async removeOwner(owner: string, leaseMilliseconds: number): Promise<void> {
    const partitions = [...this.#ownerNames.keys()].filter(
      (key) => this.#ownerNames[key] === owner,
    );
    const leaseEnd = Date.now() + leaseMilliseconds;
    this.#removedOwners.add(owner);
    await delay(leaseMilliseconds);
    for (const partition of partitions) {
      this.#assignPartition(
        partition,
        leaseEnd + SLICE_LIFETIME_MILLISECONDS,
        `successor-of-${owner}`,
      );
    }
  }

  /** Stops the tasks of the entries. */
  stop(): void {
    this.#stop.abort();
  }

  #assignPartition(partition: number, grantsFromMilliseconds: number, owner: string): void {
    this.#ownerNames[partition] = owner;
    this.#owners[partition] = new RateOwner({
      rateOf: () => this.#options.rate,
      grantsFromMilliseconds,
      mayAct: () => true,
      metrics: this.metrics,
    });
  }

  #createEntry(index: number): RateLimiter {
    const limiter = new RateLimiter({
      source: this.#createSource(`entry-${index}`),
      rateOf: () => this.#options.rate,
      groupOf: (organisation) => this.#ownerNames[partitionOf(organisation)],
      logger: silentLogger,
      metrics: this.metrics,
    });
    void limiter.asChild().run({ signal: this.#stop.signal, ready: () => undefined });
    return limiter;
  }

  #createSource(entry: string): SliceSource {
    return {
      exchange: (owner, demands) => {
        if (this.#removedOwners.has(owner)) {
          return errAsync({ kind: 'owner-unreachable', reason: 'lost' });
        }
        const exchanged = delay(MESSAGE_DELAY_MILLISECONDS).then(async () => {
          const grants = demands.flatMap(
            (demand) =>
              this.#owners[partitionOf(demand.organisation)]?.exchange(entry, [demand]) ?? [],
          );
          await delay(MESSAGE_DELAY_MILLISECONDS);
          return grants;
        });
        return ResultAsync.fromSafePromise(exchanged);
      },
    };
  }
}
