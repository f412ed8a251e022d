import type { Metrics } from '@limpetnotch/observability';
import { err, ok } from 'neverthrow';
import type { AttainedService } from './attainedService';
import type { CachedPrefix, CacheHints } from './cacheHints';
import type { CallOrder } from './callOrder';
import type { DrainRate } from './drainRate';
import { HeldGrant } from './heldGrant';
import type { OrganisationService } from './organisationService';
import type { Placement } from './placement';
import type { ScheduledCall } from './scheduledCall';
import type { SchedulerSettings } from './schedulerSettings';
import type { SchedulingPolicy } from './schedulingPolicy';
import { ServiceMeter } from './serviceMeter';
import type { AttemptOutcome, SchedulingRefusal } from './targetGrant';
import { TargetPool } from './targetPool';
import type { TargetTable } from './targetTable';
import type { TargetView } from './targetView';
import type { WaitingCall } from './waitingCall';
import { iterateWaitingCalls } from './iterateWaitingCalls';

const TICK_MILLISECONDS = 25;

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly policy: SchedulingPolicy;
  readonly settings: SchedulerSettings;
  readonly metrics: Metrics;
  readonly table: TargetTable;
  readonly hints: CacheHints;
  readonly order: CallOrder;
  readonly placement: Placement;
  readonly organisations: OrganisationService;
  readonly programs: AttainedService;
  readonly drainRate: DrainRate;
  readonly isSuspected: (requestDigest: string) => boolean;
  /** Called with the outcome of each attempt, before the slot is granted to another call. */
  readonly onOutcome: (call: ScheduledCall, view: TargetView, outcome: AttemptOutcome) => void;
}

/** Manages the queues and grants slots to waiting calls. */
export class Dispatcher {
  readonly #options: DispatcherOptions;

  readonly #pools = new Map<string, TargetPool>();

  readonly #queuedCalls = new Map<string, number>();

  #timer: NodeJS.Timeout | undefined;

  #lastTickMilliseconds = -Infinity;

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** Returns the pool of a call's route and model. */
  getOrCreatePool({ route, model, targets }: ScheduledCall): TargetPool {
    const key = `${route} ${model ?? ''}`;
    const { table, settings } = this.#options;
    const pool =
      this.#pools.get(key) ?? new TargetPool(table, model, settings.expectedOutputTokens);
    this.#pools.set(key, pool);
    pool.setTargetNames(targets);
    return pool;
  }

  /** Returns the number of an organisation's waiting calls. */
  countQueued(organisation: string): number {
    return this.#queuedCalls.get(organisation) ?? 0;
  }

  /** Queues a call and grants available slots. */
  submit(waiting: WaitingCall): void {
    const { organisation } = waiting.call;
    this.#options.organisations.addWaitingCall(organisation);
    this.#options.drainRate.recordArrival(organisation);
    this.getOrCreatePool(waiting.call).queue.add(waiting);
    this.#queuedCalls.set(organisation, this.countQueued(organisation) + 1);
    this.dispatch();
  }

  /** Refuses a waiting call; does nothing if it was already granted or refused. */
  refuse(waiting: WaitingCall, refusal: SchedulingRefusal): void {
    if (!this.#dequeue(waiting)) return;
    this.#options.organisations.removeWaitingCall(waiting.call.organisation);
    this.#options.metrics.increment('scheduling.refused', 1, { problem: refusal.problem });
    waiting.result.resolve(err(refusal));
  }

  /** Resolves the targets of all pools again after a configuration or fleet change. */
  rebuild(): void {
    this.#pools.forEach((pool) => {
      pool.rebuild();
    });
    this.dispatch();
  }

  /** Grants slots until no waiting call can be placed. */
  dispatch(): void {
    this.#handleTick();
    while (this.#grantNext());
    this.#scheduleTick();
  }

  /** Refuses all waiting calls and stops the timer. */
  stop(refusal: SchedulingRefusal): void {
    this.#listWaitingCalls().forEach((waiting) => {
      this.refuse(waiting, refusal);
    });
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  /** Grants one slot to the first call that can be placed; pools go by least virtual time. */
  #grantNext(): boolean {
    const pools = [...this.#pools.values()].filter(({ queue }) => queue.size > 0);
    return this.#sortPools(pools).some((pool) => this.#grantFrom(pool));
  }

  #sortPools(pools: readonly TargetPool[]): readonly TargetPool[] {
    if (pools.length < 2) return pools;
    const { organisations } = this.#options;
    const getLeastVirtualTime = (pool: TargetPool): number =>
      Math.min(...[...pool.queue.organisations()].map((name) => organisations.virtualTime(name)));
    return pools
      .map((pool) => ({ pool, least: getLeastVirtualTime(pool) }))
      .sort((one, other) => one.least - other.least)
      .map(({ pool }) => pool);
  }

  #grantFrom(pool: TargetPool): boolean {
    if (!pool.targets.some(({ openSlots }) => openSlots > 0)) return false;
    const { policy, order, placement } = this.#options;
    for (const waiting of iterateWaitingCalls(pool, policy, order)) {
      const decision = placement.choose(waiting, pool.candidates(waiting.call));
      if (decision.kind === 'place') {
        this.#grant(pool, waiting, decision.view, decision.hint);
        return true;
      }
    }
    return false;
  }

  #grant(
    pool: TargetPool,
    waiting: WaitingCall,
    view: TargetView,
    hint: CachedPrefix | undefined,
  ): void {
    const { call } = waiting;
    const { organisations, programs, metrics, settings, order } = this.#options;
    const { outputTokenWeight } = settings;
    this.#dequeue(waiting);
    organisations.serveWaitingCall(call.organisation);
    const queuedMilliseconds = performance.now() - waiting.enqueuedAtMilliseconds;
    const priority = order.level(waiting);
    const grant = new HeldGrant({
      call,
      view,
      priority,
      queuedMilliseconds,
      uncachedPromptTokens: waiting.promptTokens - (hint?.tokens ?? 0),
      expectedOutputTokens: pool.expectedOutputTokens(call),
      isSuspect: this.#options.isSuspected(call.requestDigest),
      meter: new ServiceMeter({ call, organisations, programs, outputTokenWeight }),
      onRelease: (outcome) => {
        if (hint && outcome.kind === 'answered') {
          this.#options.hints.updateStaleConfidence(hint, outcome.cachedTokens);
        }
        this.#handleRelease(pool, call, view, outcome);
      },
    });
    this.#options.hints.recordPrompt(view.name, call.prefix);
    metrics.increment('scheduling.granted');
    metrics.distribution('scheduling.queued-milliseconds', queuedMilliseconds);
    waiting.result.resolve(ok(grant));
  }

  #handleRelease(
    pool: TargetPool,
    call: ScheduledCall,
    view: TargetView,
    outcome: AttemptOutcome,
  ): void {
    if (outcome.kind === 'answered') pool.recordOutput(outcome.outputTokens);
    this.#options.onOutcome(call, view, outcome);
    this.dispatch();
  }

  #dequeue(waiting: WaitingCall): boolean {
    const { organisation } = waiting.call;
    if (!this.getOrCreatePool(waiting.call).queue.remove(waiting)) return false;
    const remaining = this.countQueued(organisation) - 1;
    this.#options.drainRate.recordDeparture(organisation);
    if (remaining > 0) this.#queuedCalls.set(organisation, remaining);
    else this.#queuedCalls.delete(organisation);
    if (remaining === 0) this.#options.drainRate.recordEmpty(organisation);
    return true;
  }

  /** Refreshes time-dependent slots and refuses expired calls, at most once per tick. */
  #handleTick(): void {
    const now = performance.now();
    if (now < this.#lastTickMilliseconds + TICK_MILLISECONDS) return;
    this.#lastTickMilliseconds = now;
    this.#options.table.refreshTimeDependent();
    this.#refuseExpired(now);
  }

  #listWaitingCalls(): readonly WaitingCall[] {
    return [...this.#pools.values()].flatMap(({ queue }) => queue.all());
  }

  #refuseExpired(now: number): void {
    this.#listWaitingCalls()
      .filter(({ deadlineMilliseconds }) => deadlineMilliseconds <= now)
      .forEach((waiting) => {
        const { organisation } = waiting.call;
        this.refuse(waiting, {
          problem: 'queue-full',
          detail: 'no target was free before the deadline of the route',
          retryAfterMilliseconds: this.#options.drainRate.retryAfterMilliseconds(
            organisation,
            this.countQueued(organisation),
          ),
        });
      });
  }

  /** Schedules another dispatch while calls wait, since slots can open with time alone. */
  #scheduleTick(): void {
    if (this.#timer || this.#queuedCalls.size === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.dispatch();
    }, TICK_MILLISECONDS);
  }
}
