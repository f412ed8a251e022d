import type { Metrics } from '@limpetnotch/observability';
import type { InstanceList } from '@limpetnotch/store';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { Member } from './member';

const READ_INTERVAL_MILLISECONDS = 2_000;
const ABSENCE_MILLISECONDS = 5_000;
/** Time in which an instance that has just started is listed at the latest. */
const LISTING_MILLISECONDS = 30_000;

/** Options of an {@link InstanceListView}. */
export interface InstanceListViewOptions {
  readonly list: InstanceList;
  readonly metrics: Metrics;
}

/**
 * Knows from the platform's lagging list which instances have ended: those that were listed and
 * have been absent from every reading for a while. One that was not listed since the first reading
 * may have just started, and counts as ended only after a longer time.
 */
export class InstanceListView {
  readonly #options: InstanceListViewOptions;

  /** Times at which instances were first found absent; `undefined` while they are listed. */
  readonly #absentSince = new Map<string, number | undefined>();

  #firstReadAt = Infinity;

  constructor(options: InstanceListViewOptions) {
    this.#options = options;
  }

  isGone({ instance }: Member): boolean {
    const now = performance.now();
    if (!this.#absentSince.has(instance)) return now - this.#firstReadAt >= LISTING_MILLISECONDS;
    const since = this.#absentSince.get(instance);
    return since !== undefined && now - since >= ABSENCE_MILLISECONDS;
  }

  /** Task for the supervisor: reads the list now and then. */
  child(): ChildSpecification {
    return { name: 'partitions.list', restart: 'always', run: (context) => this.#run(context) };
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      const listed = await this.#options.list.read();
      if (listed.isOk()) this.#take(new Set(listed.value.map(({ instance }) => instance)));
      else this.#options.metrics.increment('partition.list-failures');
      await delay(READ_INTERVAL_MILLISECONDS, signal);
    }
  }

  #take(listed: ReadonlySet<string>): void {
    const now = performance.now();
    this.#firstReadAt = Math.min(this.#firstReadAt, now);
    [...this.#absentSince].forEach(([instance, since]) => {
      if (!listed.has(instance)) this.#absentSince.set(instance, since ?? now);
    });
    listed.forEach((instance) => this.#absentSince.set(instance, undefined));
  }
}
