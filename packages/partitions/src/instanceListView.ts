import type { Metrics } from '@limpetnotch/observability';
import type { InstanceList } from '@limpetnotch/store';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { Member } from './member';

const READ_INTERVAL_MILLISECONDS = 2_000;
const CONFIRMED_ABSENCE_MILLISECONDS = 5_000;
/** Longest time until an instance that has just started appears in the list. */
const LIST_LAG_MILLISECONDS = 30_000;

/** Options of an {@link InstanceListView}. */
export interface InstanceListViewOptions {
  readonly list: InstanceList;
  readonly metrics: Metrics;
}

/**
 * Derives from the platform's lagging list which instances have ended: those that were listed and
 * have then been absent from all reads for some time. An instance that was never listed since the
 * first read may have just started, so it counts as ended only after a longer time.
 */
export class InstanceListView {
  readonly #options: InstanceListViewOptions;

  /**
   * Time of the monotonic clock at which each instance was first absent; `undefined` while it is
   * listed.
   */
  readonly #absentSince = new Map<string, number | undefined>();

  #firstReadAt = Infinity;

  constructor(options: InstanceListViewOptions) {
    this.#options = options;
  }

  hasEnded({ instance }: Member): boolean {
    const now = performance.now();
    if (!this.#absentSince.has(instance)) return now - this.#firstReadAt >= LIST_LAG_MILLISECONDS;
    const since = this.#absentSince.get(instance);
    return since !== undefined && now - since >= CONFIRMED_ABSENCE_MILLISECONDS;
  }

  /** Returns the supervised task that reads the list periodically. */
  child(): ChildSpecification {
    return { name: 'partitions.list', restart: 'always', run: (context) => this.#run(context) };
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      const listed = await this.#options.list.read();
      if (listed.isOk()) this.#recordListing(new Set(listed.value.map(({ instance }) => instance)));
      else this.#options.metrics.increment('partition.list-failures');
      await delay(READ_INTERVAL_MILLISECONDS, signal);
    }
  }

  #recordListing(listed: ReadonlySet<string>): void {
    const now = performance.now();
    this.#firstReadAt = Math.min(this.#firstReadAt, now);
    [...this.#absentSince].forEach(([instance, since]) => {
      if (!listed.has(instance)) this.#absentSince.set(instance, since ?? now);
    });
    listed.forEach((instance) => this.#absentSince.set(instance, undefined));
  }
}
