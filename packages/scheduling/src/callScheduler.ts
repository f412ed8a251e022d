import type { Configuration } from '@limpetnotch/declarations';
import { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ResultAsync } from 'neverthrow';
import { AttainedService } from './attainedService';
import { CacheHints } from './cacheHints';
import { CallOrder } from './callOrder';
import type { SchedulerOptions } from './createScheduler';
import { Dispatcher } from './dispatcher';
import { DrainRate } from './drainRate';
import { OrganisationService } from './organisationService';
import { Placement } from './placement';
import type { QuarantineListener } from './quarantine';
import { Quarantine } from './quarantine';
import type { QuarantineEntry } from './quarantineEntry';
import { RetryPolicy } from './retryPolicy';
import type { ScheduledCall } from './scheduledCall';
import type { CacheEvent, LoadReport, ProbeTarget, Scheduler } from './scheduler';
import type { AttemptOutcome, SchedulingRefusal, TargetGrant } from './targetGrant';
import { TargetTable } from './targetTable';
import type { TargetView } from './targetView';
import type { WaitingCall } from './waitingCall';

const DEFAULT_MAXIMUM_QUEUED_CALLS = 256;
const NO_TARGET_RETRY_MILLISECONDS = 5_000;

const CANCELLED: SchedulingRefusal = {
  problem: 'cancelled',
  detail: 'the caller gave up before a target was free',
  retryAfterMilliseconds: undefined,
};

const STOPPED: SchedulingRefusal = {
  problem: 'no-target',
  detail: 'this instance is stopping',
  retryAfterMilliseconds: NO_TARGET_RETRY_MILLISECONDS,
};

/** The scheduler of one instance. */
export class CallScheduler implements Scheduler {
  readonly #table: TargetTable;

  readonly #hints: CacheHints;

  readonly #organisations: OrganisationService;

  readonly #programs: AttainedService;

  readonly #quarantine: Quarantine;

  readonly #retries: RetryPolicy;

  readonly #drainRate = new DrainRate();

  readonly #dispatcher: Dispatcher;

  readonly #options: SchedulerOptions;

  #maximumQueuedCalls: ReadonlyMap<string, number> = new Map();

  #arrivalCount = 0;

  constructor(options: SchedulerOptions) {
    const { instance, logger, metrics, settings, policy } = options;
    this.#options = options;
    this.#table = new TargetTable({ instance, settings, logger, metrics });
    this.#hints = new CacheHints(settings.maximumCacheHintsPerTarget);
    this.#organisations = new OrganisationService(settings.maximumLeadTokens);
    this.#programs = new AttainedService(settings.maximumRememberedPrograms);
    this.#retries = new RetryPolicy(settings);
    this.#quarantine = new Quarantine({
      crashes: settings.quarantineCrashes,
      expiryMilliseconds: settings.quarantineMilliseconds,
    });
    const isSuspected = (digest: string): boolean => this.#quarantine.isSuspected(digest);
    const organisations = this.#organisations;
    const programs = this.#programs;
    this.#dispatcher = new Dispatcher({
      policy,
      settings,
      metrics,
      table: this.#table,
      hints: this.#hints,
      order: new CallOrder({ settings, organisations, programs }),
      placement: new Placement({ policy, settings, hints: this.#hints, isSuspected }),
      organisations,
      programs,
      drainRate: this.#drainRate,
      isSuspected,
      onOutcome: (call, view, outcome) => {
        this.#recordOutcome(call, view, outcome);
      },
    });
  }

  applyConfiguration(configuration: Configuration): void {
    const organisations = [...configuration.organisations];
    this.#organisations.setWeights(
      new Map(organisations.map(([name, { weight }]) => [name, weight])),
    );
    this.#maximumQueuedCalls = new Map(
      organisations.map(([name, { maximumQueuedCalls }]) => [name, maximumQueuedCalls]),
    );
    this.#retries.setRoutes(configuration.routes);
    this.#table.applyConfiguration(configuration);
    this.#dispatcher.rebuild();
  }

  setFleet(instances: readonly string[]): void {
    this.#table.setFleet(instances);
    this.#dispatcher.rebuild();
  }

  acquire(call: ScheduledCall, signal: AbortSignal): ResultAsync<TargetGrant, SchedulingRefusal> {
    const refusal = this.#findRefusal(call, signal);
    if (refusal) {
      this.#options.metrics.increment('scheduling.refused', 1, { problem: refusal.problem });
      return new ResultAsync(Promise.resolve(err(refusal)));
    }
    return new ResultAsync(this.#enqueue(call, signal));
  }

  mayRetry(call: ScheduledCall, failedAttempts: number): boolean {
    const isQuarantined = this.#quarantine.isQuarantined(call.requestDigest);
    const isAllowed = !isQuarantined && this.#retries.mayRetry(call, failedAttempts);
    this.#options.metrics.increment('scheduling.retries', 1, { allowed: String(isAllowed) });
    return isAllowed;
  }

  reportLoad(report: LoadReport): void {
    const view = this.#table.view(report.target);
    if (!view) return;
    view.load.applyReport(report);
    view.refresh();
    this.#dispatcher.dispatch();
  }

  reportCache(event: CacheEvent): void {
    if (this.#table.view(event.target)) this.#hints.applyEvent(event);
  }

  addRemoteService(organisation: string, tokens: number): void {
    this.#organisations.chargeRemote(organisation, tokens);
  }

  takeLocalService(organisation: string): number {
    return this.#organisations.takeUnreported(organisation);
  }

  endProgram(organisation: string, rootProgram: string): void {
    this.#programs.remove(organisation, rootProgram);
  }

  targetsToProbe(): readonly ProbeTarget[] {
    return this.#table
      .views()
      .filter((view) => view.isServing && view.share > 0 && view.health.isProbeDue())
      .map(({ name, spec }) => ({ name, address: spec.address }));
  }

  recordProbe(target: string, healthy: boolean): void {
    const view = this.#table.view(target);
    if (!view) return;
    if (healthy) this.#table.recordSuccess(view);
    else this.#table.recordFailure(view);
    this.#dispatcher.dispatch();
  }

  listQuarantine(): readonly QuarantineEntry[] {
    return this.#quarantine.list();
  }

  liftQuarantine(requestDigest: string): boolean {
    return this.#quarantine.lift(requestDigest);
  }

  importQuarantine(entries: readonly QuarantineEntry[]): void {
    this.#quarantine.merge(entries);
  }

  onQuarantineChange(listener: QuarantineListener): void {
    this.#quarantine.onChange(listener);
  }

  stop(): void {
    this.#dispatcher.stop(STOPPED);
  }

  async #enqueue(
    call: ScheduledCall,
    signal: AbortSignal,
  ): Promise<Result<TargetGrant, SchedulingRefusal>> {
    const waiting: WaitingCall = {
      call,
      arrivalNumber: this.#arrivalCount,
      enqueuedAtMilliseconds: performance.now(),
      deadlineMilliseconds: this.#retries.startAttempt(call),
      promptTokens: call.prefix.reduce((sum, { tokens }) => sum + tokens, 0),
      result: new Deferred<Result<TargetGrant, SchedulingRefusal>>(),
    };
    this.#arrivalCount += 1;
    const cancel = (): void => {
      this.#dispatcher.refuse(waiting, CANCELLED);
    };
    signal.addEventListener('abort', cancel, { once: true });
    this.#dispatcher.submit(waiting);
    const result = await waiting.result.promise;
    signal.removeEventListener('abort', cancel);
    return result;
  }

  /** Returns the refusal of a call that may not enter a queue. */
  #findRefusal(call: ScheduledCall, signal: AbortSignal): SchedulingRefusal | undefined {
    if (signal.aborted) return CANCELLED;
    if (this.#quarantine.isQuarantined(call.requestDigest)) {
      return {
        problem: 'quarantined',
        detail: 'this request was under way when several targets crashed; an operator can lift it',
        retryAfterMilliseconds: undefined,
      };
    }
    if (!this.#dispatcher.getOrCreatePool(call).hasServingTarget) {
      return {
        problem: 'no-target',
        detail: 'no target of the route serves the model',
        retryAfterMilliseconds: NO_TARGET_RETRY_MILLISECONDS,
      };
    }
    return this.#findQueueRefusal(call);
  }

  /** Refuses a call early if it is not expected to be served before its deadline. */
  #findQueueRefusal({ organisation, route }: ScheduledCall): SchedulingRefusal | undefined {
    const queued = this.#dispatcher.countQueued(organisation);
    const maximum = this.#maximumQueuedCalls.get(organisation) ?? DEFAULT_MAXIMUM_QUEUED_CALLS;
    const expected = this.#drainRate.expectedMilliseconds(organisation, queued) ?? 0;
    if (queued < maximum && expected < this.#retries.deadlineMilliseconds(route)) return undefined;
    return {
      problem: 'queue-full',
      detail: `the organisation has ${queued} calls waiting`,
      retryAfterMilliseconds: this.#drainRate.retryAfterMilliseconds(organisation, queued),
    };
  }

  #recordOutcome(call: ScheduledCall, view: TargetView, outcome: AttemptOutcome): void {
    this.#retries.endAttempt(call.callId, outcome.kind);
    switch (outcome.kind) {
      case 'answered':
        this.#table.recordSuccess(view);
        // A request that crashes every target that runs it never gets a response.
        this.#quarantine.lift(call.requestDigest);
        break;
      case 'refused':
      case 'not-sent':
        this.#table.recordFailure(view);
        break;
      case 'broken':
        this.#table.recordFailure(view);
        this.#hints.removeTarget(view.name);
        if (outcome.cause !== 'silent') this.#quarantine.recordCrash(call, view.name);
        break;
      case 'cancelled':
        break;
    }
  }
}
