import type { Metrics } from '@limpetnotch/observability';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { SliceDemand, SliceGrant } from '../slice';
import { readInstant } from './instant';
import type { OrganisationQueue } from './organisationQueue';
import type { SliceSource, SliceSourceError } from './sliceSource';

const PACE_MILLISECONDS = 20;
const DEADLINE_MILLISECONDS = 200;
const MAXIMUM_DEMANDS = 1_024;
const IDLE_MILLISECONDS = 60_000;

/** Options of an {@link OwnerGroup}. */
export interface OwnerGroupOptions {
  /** Address of the owner that the organisations have in common. */
  readonly group: string;
  readonly source: SliceSource;
  readonly metrics: Metrics;
}

interface Demanded {
  readonly queue: OrganisationQueue;
  readonly demand: SliceDemand;
}

/** One owner's organisations: their demands go in one message, one message at a time. */
export class OwnerGroup {
  readonly #options: OwnerGroupOptions;

  readonly #pending = new Set<OrganisationQueue>();

  #wake = new Deferred();

  #usedMilliseconds = performance.now();

  constructor(options: OwnerGroupOptions) {
    this.#options = options;
  }

  get name(): string {
    return `rates-of-${this.#options.group}`;
  }

  /** Takes a queue into the next message. */
  add(queue: OrganisationQueue): void {
    this.#usedMilliseconds = performance.now();
    this.#pending.add(queue);
    this.#wake.resolve(undefined);
  }

  /** Whether no organisation asked for long. */
  isIdle(): boolean {
    const isQuiet = performance.now() - this.#usedMilliseconds >= IDLE_MILLISECONDS;
    return isQuiet && this.#pending.size === 0;
  }

  /** The task that exchanges with the owner. */
  asChild(): ChildSpecification {
    return { name: this.name, restart: 'always', run: (context) => this.#run(context) };
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      await this.#untilPending(signal);
      await this.#exchange();
      await delay(PACE_MILLISECONDS, signal);
    }
    for (const queue of this.#pending) queue.noteAbsence();
    this.#pending.clear();
  }

  async #untilPending(signal: AbortSignal): Promise<void> {
    if (this.#pending.size > 0 || signal.aborted) return;
    const wake = new Deferred();
    const stop = (): void => wake.resolve(undefined);
    this.#wake = wake;
    signal.addEventListener('abort', stop, { once: true });
    await wake.promise;
    signal.removeEventListener('abort', stop);
  }

  async #exchange(): Promise<void> {
    const sent = readInstant();
    const demanded = this.#takePending();
    if (demanded.length === 0) return;
    this.#options.metrics.increment('rates.exchanges');
    const answer = await this.#ask(demanded.map(({ demand }) => demand));
    if (answer.isErr()) this.#options.metrics.increment('rates.exchanges-failed');
    const grants = new Map(answer.unwrapOr([]).map((grant) => [grant.organisation, grant]));
    for (const { queue } of demanded) {
      const grant = grants.get(queue.organisation);
      if (grant) queue.deliver(grant, sent);
      else queue.noteAbsence();
    }
  }

  #takePending(): readonly Demanded[] {
    const demanded: Demanded[] = [];
    for (const queue of this.#pending) {
      if (demanded.length === MAXIMUM_DEMANDS) break;
      this.#pending.delete(queue);
      const demand = queue.buildDemand();
      if (demand) demanded.push({ queue, demand });
    }
    return demanded;
  }

  /** Gives up at the deadline; an answer that comes later is dropped with its grants. */
  async #ask(
    demands: readonly SliceDemand[],
  ): Promise<Result<readonly SliceGrant[], SliceSourceError>> {
    const answered = new AbortController();
    const late = async (): Promise<Result<never, SliceSourceError>> => {
      await delay(DEADLINE_MILLISECONDS, answered.signal);
      return err({ kind: 'owner-unreachable', reason: 'no answer in time' });
    };
    try {
      return await Promise.race([
        this.#options.source.exchange(this.#options.group, demands),
        late(),
      ]);
    } catch (error) {
      return err({ kind: 'owner-unreachable', reason: String(error) });
    } finally {
      answered.abort();
    }
  }
}
