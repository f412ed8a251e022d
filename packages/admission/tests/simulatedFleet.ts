import { RateLimiter, RateOwner, SLICE_LIFETIME_MILLISECONDS } from '@limpetnotch/admission';
import type { SliceSource } from '@limpetnotch/admission';
import type { Rate } from '@limpetnotch/declarations';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import { errAsync, ResultAsync } from 'neverthrow';

/**
 * Delays of the demand and the answer of one exchange, in milliseconds, and whether the answer is
 * lost.
 */
export interface LinkConditions {
  readonly out: number;
  readonly back: number;
  readonly isLost: boolean;
}

/** Several entries and the current owner, in one process with fake timers. */
export class SimulatedFleet {
  readonly metrics = new MemoryMetrics();

  readonly admitted: number[] = [];

  readonly rejected: { readonly at: number; readonly retryAfterMilliseconds: number }[] = [];

  readonly entries: readonly RateLimiter[];

  nextConditions: () => LinkConditions = () => ({ out: 1, back: 1, isLost: false });

  readonly #owners = new Map<string, RateOwner>();

  readonly #stop = new AbortController();

  #owner = '';

  constructor(
    readonly rate: Rate,
    entryCount: number,
  ) {
    this.replaceOwner(Date.now() - SLICE_LIFETIME_MILLISECONDS);
    this.entries = Array.from({ length: entryCount }, (_, index) => this.#startEntry(index));
  }

  /**
   * Installs a new owner. The old one continues until its own end time, for entries that still send
   * demands to it.
   */
  replaceOwner(oldUntilMilliseconds: number, newUntilMilliseconds = Number.MAX_VALUE): void {
    this.#owner = `owner-${this.#owners.size}`;
    const owner = new RateOwner({
      rateOf: () => this.rate,
      grantsFromMilliseconds: oldUntilMilliseconds + SLICE_LIFETIME_MILLISECONDS,
      mayAct: () => Date.now() < newUntilMilliseconds,
      metrics: this.metrics,
    });
    this.#owners.set(this.#owner, owner);
  }

  /** Sends a request; its outcome is added to `admitted` or `rejected`. */
  request(entry: number): void {
    void this.entries[entry]!.acquire('amman', new AbortController().signal).match(
      () => this.admitted.push(performance.now()),
      (error) => {
        if (error.kind !== 'rate-exceeded') throw new Error(error.kind);
        const { retryAfterMilliseconds } = error;
        this.rejected.push({ at: performance.now(), retryAfterMilliseconds });
      },
    );
  }

  /** Returns the maximum excess over rate times window plus burst in any window, in requests. */
  computeExcess(): number {
    let lowest = Number.POSITIVE_INFINITY;
    let excess = Number.NEGATIVE_INFINITY;
    this.admitted.forEach((at, index) => {
      const height = index - (at * this.rate.requestsPerSecond) / 1_000;
      lowest = Math.min(lowest, height);
      excess = Math.max(excess, height - lowest + 1 - this.rate.burst);
    });
    return excess;
  }

  async stop(): Promise<void> {
    this.#stop.abort();
    await jest.advanceTimersByTimeAsync(1_000);
  }

  #startEntry(index: number): RateLimiter {
    const limiter = new RateLimiter({
      source: this.#source(`entry-${index}`),
      rateOf: () => this.rate,
      groupOf: () => this.#owner,
      logger: silentLogger,
      metrics: this.metrics,
    });
    void limiter.asChild().run({ signal: this.#stop.signal, ready: () => undefined });
    return limiter;
  }

  #source(entry: string): SliceSource {
    return {
      exchange: (group, demands) => {
        const { out, back, isLost } = this.nextConditions();
        const exchanged = delay(out).then(async () => {
          const grants = this.#owners.get(group)?.exchange(entry, demands) ?? [];
          await delay(back);
          return grants;
        });
        return ResultAsync.fromSafePromise(exchanged).andThen((grants) =>
          isLost
            ? errAsync({ kind: 'owner-unreachable' as const, reason: 'lost' })
            : ResultAsync.fromSafePromise(Promise.resolve(grants)),
        );
      },
    };
  }
}
