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
import { waitingCallsInOrder } from './waitingCallsInOrder';

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
  readonly drain: DrainRate;
  readonly isSuspected: (requestDigest: string) => boolean;
  /** Is told how each attempt ended, before the slot is offered to others. */
  readonly onOutcome: (call: ScheduledCall, view: TargetView, outcome: AttemptOutcome) => void;
}

/** Holds the queues and grants slots to waiting calls. */
export class Dispatcher {
  readonly #options: DispatcherOptions;

  readonly #pools = new Map<string, TargetPool>();

  readonly #queued = new Map<string, number>();

  #timer: NodeJS.Timeout | undefined;

  #followedMilliseconds = -Infinity;

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** Returns the pool of a call's route and model. */
  pool({ route, model, targets }: ScheduledCall): TargetPool {
    const key = `${route} ${model ?? ''}`;
    const { table, settings } = this.#options;
    const pool =
      this.#pools.get(key) ?? new TargetPool(table, model, settings.expectedOutputTokens);
    this.#pools.set(key, pool);
    pool.setNames(targets);
    return pool;
  }

  /** Number of an organisation's waiting calls. */
  queued(organisation: string): number {
    return this.#queued.get(organisation) ?? 0;
  }

  /** Queues a call, and grants what can be granted. */
  submit(waiting: WaitingCall): void {
    const { organisation } = waiting.call;
    this.#options.organisations.enter(organisation);
    this.#options.drain.recordEntry(organisation);
    this.pool(waiting.call).queue.add(waiting);
    this.#queued.set(organisation, this.queued(organisation) + 1);
    this.pump();
  }

  /** Answers a waiting call with a refusal; does nothing once it was granted or refused. */
  refuse(waiting: WaitingCall, refusal: SchedulingRefusal): void {
    if (!this.#unqueue(waiting)) return;
    this.#options.organisations.leave(waiting.call.organisation);
    this.#options.metrics.increment('scheduling.refused', 1, { problem: refusal.problem });
    waiting.answer.resolve(err(refusal));
  }

  /** Looks targets up again after a change of the configuration or of the fleet. */
  rebuild(): void {
    this.#pools.forEach((pool) => {
      pool.rebuild();
    });
    this.pump();
  }

  /** Grants slots while there are calls and room. */
  pump(): void {
    this.#followTime();
    while (this.#grantNext());
    this.#scheduleTick();
  }

  /** Refuses all waiting calls and stops the timer. */
  stop(refusal: SchedulingRefusal): void {
    this.#waiting().forEach((waiting) => {
      this.refuse(waiting, refusal);
    });
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  /** Grants one slot to the first call that can be placed; pools go by their first call. */
  #grantNext(): boolean {
    const pools = [...this.#pools.values()].filter(({ queue }) => queue.size > 0);
    return this.#byTurn(pools).some((pool) => this.#grantFrom(pool));
  }

  #byTurn(pools: readonly TargetPool[]): readonly TargetPool[] {
    if (pools.length < 2) return pools;
    const { organisations } = this.#options;
    const least = (pool: TargetPool): number =>
      Math.min(...[...pool.queue.organisations()].map((name) => organisations.virtualTime(name)));
    return pools
      .map((pool) => ({ pool, least: least(pool) }))
      .sort((one, other) => one.least - other.least)
      .map(({ pool }) => pool);
  }

  #grantFrom(pool: TargetPool): boolean {
    if (!pool.targets.some(({ openSlots }) => openSlots > 0)) return false;
    const { policy, order, placement } = this.#options;
    for (const waiting of waitingCallsInOrder(pool, policy, order)) {
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
    this.#unqueue(waiting);
    organisations.serve(call.organisation);
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
          this.#options.hints.learn(hint, outcome.cachedTokens);
        }
        this.#released(pool, call, view, outcome);
      },
    });
    this.#options.hints.noteSent(view.name, call.prefix);
    metrics.increment('scheduling.granted');
    metrics.distribution('scheduling.queued-milliseconds', queuedMilliseconds);
    waiting.answer.resolve(ok(grant));
  }

  #released(
    pool: TargetPool,
    call: ScheduledCall,
    view: TargetView,
    outcome: AttemptOutcome,
  ): void {
    if (outcome.kind === 'answered') pool.recordOutput(outcome.outputTokens);
    this.#options.onOutcome(call, view, outcome);
    this.pump();
  }

  #unqueue(waiting: WaitingCall): boolean {
    const { organisation } = waiting.call;
    if (!this.pool(waiting.call).queue.remove(waiting)) return false;
    const left = this.queued(organisation) - 1;
    this.#options.drain.recordGrant(organisation);
    if (left > 0) this.#queued.set(organisation, left);
    else this.#queued.delete(organisation);
    if (left === 0) this.#options.drain.recordEmpty(organisation);
    return true;
  }

  /** Does what time alone asks for, at most once in a tick. */
  #followTime(): void {
    const now = performance.now();
    if (now < this.#followedMilliseconds + TICK_MILLISECONDS) return;
    this.#followedMilliseconds = now;
    this.#options.table.refreshTimed();
    this.#refuseExpired(now);
  }

  #waiting(): readonly WaitingCall[] {
    return [...this.#pools.values()].flatMap(({ queue }) => queue.all());
  }

  #refuseExpired(now: number): void {
    this.#waiting()
      .filter(({ deadlineMilliseconds }) => deadlineMilliseconds <= now)
      .forEach((waiting) => {
        const { organisation } = waiting.call;
        this.refuse(waiting, {
          problem: 'queue-full',
          detail: 'no target was free before the deadline of the route',
          retryAfterMilliseconds: this.#options.drain.retryAfterMilliseconds(
            organisation,
            this.queued(organisation),
          ),
        });
      });
  }

  /** While calls wait, slots that open with time alone are found by a timer. */
  #scheduleTick(): void {
    if (this.#timer || this.#queued.size === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.pump();
    }, TICK_MILLISECONDS);
  }
}
