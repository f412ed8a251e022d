import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { CacheOrderPort, CacheRelease } from './cacheRelease';

const INITIAL_BACKOFF_MILLISECONDS = 200;
const MAXIMUM_BACKOFF_MILLISECONDS = 30_000;

/** Options of a {@link CacheReleaser}. */
export interface CacheReleaserOptions {
  readonly port: CacheOrderPort;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called for each release that the engine confirmed, so that it can be recorded. */
  readonly onFreed: (release: CacheRelease) => void;
}

interface PendingRelease {
  readonly release: CacheRelease;
  dueMilliseconds: number;
  failures: number;
}

/**
 * Frees the engine memory of ended programs. One task per target retries each order with
 * exponential backoff until the engine confirms it or reports a newer owner.
 */
export class CacheReleaser {
  readonly #options: CacheReleaserOptions;

  /** Unconfirmed orders by target; kept when the task restarts. */
  readonly #pending = new Map<string, PendingRelease[]>();

  readonly #tasks = new Map<string, Promise<void>>();

  #wake = new AbortController();

  #signal: AbortSignal | undefined;

  constructor(options: CacheReleaserOptions) {
    this.#options = options;
  }

  /** Number of unconfirmed orders. */
  get size(): number {
    return [...this.#pending.values()].reduce((sum, orders) => sum + orders.length, 0);
  }

  /** Queues an order, delayed by the former owner's remaining time if fencing is ignored. */
  add(release: CacheRelease): void {
    const wait = release.fencing === 'ignored' ? release.formerOwnerMilliseconds : 0;
    const order = { release, dueMilliseconds: performance.now() + wait, failures: 0 };
    this.#pending.set(release.target, [...(this.#pending.get(release.target) ?? []), order]);
    this.#wake.abort();
    this.#wake = new AbortController();
    this.#startTask(release.target);
  }

  /** Returns the releaser as a child of the supervision tree. */
  asChild(): ChildSpecification {
    return { name: 'cache-releaser', restart: 'always', run: (context) => this.#run(context) };
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    this.#signal = signal;
    [...this.#pending.keys()].forEach((target) => {
      this.#startTask(target);
    });
    ready();
    while (!signal.aborted) await delay(MAXIMUM_BACKOFF_MILLISECONDS, signal);
    await Promise.all(this.#tasks.values());
    this.#signal = undefined;
  }

  #startTask(target: string): void {
    const signal = this.#signal;
    if (!signal || signal.aborted || this.#tasks.has(target)) return;
    const task = this.#freeAll(target, signal).finally(() => {
      this.#tasks.delete(target);
      if (this.#pending.has(target)) this.#startTask(target);
    });
    this.#tasks.set(target, task);
  }

  /** Processes one target's orders by due time until none remains. */
  async #freeAll(target: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const orders = this.#pending.get(target) ?? [];
      const [first] = [...orders].sort((one, other) => one.dueMilliseconds - other.dueMilliseconds);
      if (!first) return;
      const wait = first.dueMilliseconds - performance.now();
      if (wait > 0) await delay(wait, AbortSignal.any([signal, this.#wake.signal]));
      else await this.#free(first, signal);
    }
  }

  async #free(order: PendingRelease, signal: AbortSignal): Promise<void> {
    const { port, metrics, logger, onFreed } = this.#options;
    const { release } = order;
    const result = await port.freeSession(release, signal);
    if (result.isOk()) {
      this.#remove(order);
      metrics.increment('cache-release.freed');
      onFreed(release);
      return;
    }
    switch (result.error.kind) {
      case 'superseded':
        this.#remove(order);
        metrics.increment('cache-release.superseded');
        logger.info('cache-release.superseded', { target: release.target, epoch: release.epoch });
        return;
      case 'failed':
        metrics.increment('cache-release.failures');
        Object.assign(order, {
          failures: order.failures + 1,
          dueMilliseconds:
            performance.now() + CacheReleaser.#computeBackoffMilliseconds(order.failures),
        });
    }
  }

  #remove(order: PendingRelease): void {
    const { target } = order.release;
    const remaining = (this.#pending.get(target) ?? []).filter((other) => other !== order);
    if (remaining.length > 0) this.#pending.set(target, remaining);
    else this.#pending.delete(target);
  }

  static #computeBackoffMilliseconds(failures: number): number {
    return Math.min(MAXIMUM_BACKOFF_MILLISECONDS, INITIAL_BACKOFF_MILLISECONDS * 2 ** failures);
  }
}
