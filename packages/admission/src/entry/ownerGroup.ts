import type { Metrics } from '@limpetnotch/observability';
import { delay, WakeSignal } from '@limpetnotch/supervision';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { SliceDemand, SliceGrant } from '../slice';
import { readInstant } from './instant';
import type { OrganisationQueue } from './organisationQueue';
import type { SliceSource, SliceSourceError } from './sliceSource';

const EXCHANGE_INTERVAL_MILLISECONDS = 20;
const EXCHANGE_DEADLINE_MILLISECONDS = 200;
const MAXIMUM_DEMANDS = 1_024;
const IDLE_MILLISECONDS = 60_000;

/** Options of an {@link OwnerGroup}. */
export interface OwnerGroupOptions {
  /** Address of the owner that the organisations share. */
  readonly group: string;
  readonly source: SliceSource;
  readonly metrics: Metrics;
}

interface QueuedDemand {
  readonly queue: OrganisationQueue;
  readonly demand: SliceDemand;
}

/**
 * The organisations of one owner. Their demands are batched, with one message in flight at a time.
 */
export class OwnerGroup {
  readonly #options: OwnerGroupOptions;

  readonly #pending = new Set<OrganisationQueue>();

  readonly #wakeSignal = new WakeSignal();

  #usedMilliseconds = performance.now();

  constructor(options: OwnerGroupOptions) {
    this.#options = options;
  }

  get name(): string {
    return `rates-of-${this.#options.group}`;
  }

  /** Includes a queue in the next message. */
  add(queue: OrganisationQueue): void {
    this.#usedMilliseconds = performance.now();
    this.#pending.add(queue);
    this.#wakeSignal.wake();
  }

  /** Whether no organisation has queued a demand for `IDLE_MILLISECONDS`. */
  isIdle(): boolean {
    const isQuiet = performance.now() - this.#usedMilliseconds >= IDLE_MILLISECONDS;
    return isQuiet && this.#pending.size === 0;
  }

  /** Returns the task that exchanges demands and grants with the owner. */
  asChild(): ChildSpecification {
    return { name: this.name, restart: 'always', run: (context) => this.#run(context) };
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      if (this.#pending.size === 0) await this.#wakeSignal.wait(signal);
      await this.#exchange();
      await delay(EXCHANGE_INTERVAL_MILLISECONDS, signal);
    }
    for (const queue of this.#pending) queue.markOwnerAbsent();
    this.#pending.clear();
  }

  async #exchange(): Promise<void> {
    const sentAt = readInstant();
    const queuedDemands = this.#drainPending();
    if (queuedDemands.length === 0) return;
    this.#options.metrics.increment('rates.exchanges');
    const answer = await this.#requestGrants(queuedDemands.map(({ demand }) => demand));
    if (answer.isErr()) this.#options.metrics.increment('rates.exchanges-failed');
    const grants = new Map(answer.unwrapOr([]).map((grant) => [grant.organisation, grant]));
    for (const { queue } of queuedDemands) {
      const grant = grants.get(queue.organisation);
      if (grant) queue.applyGrant(grant, sentAt);
      else queue.markOwnerAbsent();
    }
  }

  #drainPending(): readonly QueuedDemand[] {
    const queuedDemands: QueuedDemand[] = [];
    for (const queue of this.#pending) {
      if (queuedDemands.length === MAXIMUM_DEMANDS) break;
      this.#pending.delete(queue);
      const demand = queue.buildDemand();
      if (demand) queuedDemands.push({ queue, demand });
    }
    return queuedDemands;
  }

  /** Times out at the deadline; a later answer is discarded together with its grants. */
  async #requestGrants(
    demands: readonly SliceDemand[],
  ): Promise<Result<readonly SliceGrant[], SliceSourceError>> {
    const settled = new AbortController();
    const timeOut = async (): Promise<Result<never, SliceSourceError>> => {
      await delay(EXCHANGE_DEADLINE_MILLISECONDS, settled.signal);
      return err({
        kind: 'owner-unreachable',
        reason: 'the owner did not answer before the deadline',
      });
    };
    try {
      return await Promise.race([
        this.#options.source.exchange(this.#options.group, demands),
        timeOut(),
      ]);
    } catch (error) {
      return err({ kind: 'owner-unreachable', reason: String(error) });
    } finally {
      settled.abort();
    }
  }
}
