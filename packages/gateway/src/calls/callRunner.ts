import type { LogFields } from '@limpetnotch/observability';
import { turnPriority } from '@limpetnotch/scheduling';
import { delay } from '@limpetnotch/supervision';
import type { LimitedDispatch } from '../limits/limitedDispatch';
import { LimitWait } from '../limits/limitWait';
import { maySendEvents } from '../resumption/streamOrigin';
import type { RequestQuarantine } from '../quarantine/requestQuarantine';
import { TrialRuns } from '../quarantine/trialRuns';
import type { FleetTarget } from '../targets/fleetTarget';
import type { AttemptConnection, AttemptParts } from './attempt';
import { Attempt } from './attempt';
import type { AttemptOutcome } from './attemptOutcome';
import type { Call } from './call';
import type { CallEligibility } from './callEligibility';
import type { CallPlacementParts } from './callPlacement';
import { CallPlacement } from './callPlacement';
import { decideDispatch } from './decideDispatch';
import type { DispatchSituation, GiveUpReason } from './decideDispatch';
import type { Refusal } from './refusal';
import { FullServiceWait } from './fullServiceWait';
import { computeInactivityTimeout } from './inactivityTimeout';
import { SHUTDOWN_REFUSAL } from './shutdownRefusal';
import type { TargetChoice } from './targetChoice';
import { explainWithheld } from './explainWithheld';

/** Maximum dispatches of one request, including declined ones. */
const MAXIMUM_DISPATCHES = 6;

/** Maximum runs of one request; one that fails this often may itself be crashing its targets. */
const MAXIMUM_RUNS = 3;

/** Callers retry after the time in which a full target frees a slot. */
const FULL_RETRY_AFTER_SECONDS = 0.25;

const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

/** How a call ended. */
export type CallResult =
  | { readonly kind: 'delivered'; readonly status: number }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Dependencies of a {@link CallRunner}. */
export interface CallRunnerParts extends AttemptParts, Omit<CallPlacementParts, 'trials'> {
  readonly quarantine: RequestQuarantine;
  readonly limitedDispatch: LimitedDispatch;
  readonly eligibility: CallEligibility;
  /** Returns the number of instances that share the connections of a target. */
  readonly instanceCount: () => number;
}

const NO_TARGET: TargetChoice = { kind: 'none', reason: 'no-target' };

/** Whether the outcome of an attempt counts as a failure of its target. */
const isTargetFailure = (outcome: AttemptOutcome): boolean => {
  switch (outcome.kind) {
    case 'broken':
    case 'excessive':
    case 'stalled':
      return true;
    case 'timed-out':
      return outcome.wasSent;
    case 'delivered':
    case 'unproven-refusal':
      return outcome.status >= FIRST_SERVER_ERROR_STATUS;
    case 'caller-gone':
    case 'declined':
    case 'no-path':
    case 'not-retained':
    case 'not-sent':
    case 'shutting-down':
      return false;
  }
};

/** Returns the log fields that explain whether a request may be dispatched again. */
const toDispatchLogFields = (call: Call, last: AttemptOutcome): LogFields => {
  const { formerTargets, runs } = call.history;
  const ended = formerTargets.flatMap(({ target, state }) =>
    state.kind === 'ended' ? [`${target.id}=${state.evidence}`] : [],
  );
  return {
    request: call.envelope.id,
    after: last.kind,
    mayHaveRunAt: formerTargets.map(({ target }) => target.id).join(' '),
    ended: ended.join(' '),
    runs,
    maximumTargets: call.route.maximumTargets,
    isResumed: call.lastEventId !== undefined,
    originVersion: call.origin?.version,
    ageMilliseconds: Math.round(call.ageMilliseconds),
  };
};

/** Returns a whole number; undefined for a time since something that never happened. */
const toLogMilliseconds = (milliseconds: number): number | undefined =>
  Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;

const toRefusedResult = (refusal: Refusal): CallResult => ({ kind: 'refused', refusal });

/** Runs admitted calls: chooses targets, dispatches, and retries where that is allowed. */
export class CallRunner {
  readonly #parts: CallRunnerParts;

  readonly #trials = new TrialRuns();

  readonly #placement: CallPlacement;

  readonly #fullWait: FullServiceWait;

  constructor(parts: CallRunnerParts) {
    this.#parts = parts;
    this.#fullWait = new FullServiceWait(parts);
    this.#placement = new CallPlacement({ ...parts, trials: this.#trials });
  }

  /** Runs a call until it ends. */
  async run(call: Call): Promise<CallResult> {
    const result = await this.#run(call);
    if (result.kind !== 'refused') return result;
    const reason = explainWithheld(call, { kind: 'refusal', refusal: result.refusal });
    if (reason === undefined) return result;
    this.#parts.metrics.increment('call.withheld-refusals');
    this.#parts.logger.error('call.refusal-withheld', { request: call.envelope.id, reason });
    return toRefusedResult({ kind: 'outcome-unknown', reason });
  }

  async #run(call: Call): Promise<CallResult> {
    const refusedStart = this.#fullWait.refuseStart(call);
    if (refusedStart) {
      return toRefusedResult(this.#noTarget(call, { reason: 'full', ...refusedStart }));
    }
    let repeatCount = 0;
    let last: AttemptOutcome | undefined;
    for (let dispatch = 1; ; dispatch += 1) {
      const choice =
        dispatch > MAXIMUM_DISPATCHES
          ? NO_TARGET
          : await this.#chooseWithinLimits(call, repeatCount);
      if (choice.kind === 'target') {
        const { target, connection } = choice;
        const endedResult = this.#checkEnd(call, last);
        if (endedResult) return endedResult;
        if (last) this.#logRedispatch(call, last, dispatch, target);
        if (connection.kind === 'own') repeatCount += 1;
        const dispatched = call;
        dispatched.version = target.version;
        last = await this.#attempt(call, target, connection, repeatCount);
        const result = this.#toFinalResult(call, target, last);
        if (result) return result;
      } else {
        const decision = await this.#fullWait.wait(call, last);
        if (decision.kind === 'refuse') {
          const refusal = this.#noTarget(call, { ...decision, ...choice });
          return this.#checkEnd(call, last) ?? this.#giveUp(call, last, refusal);
        }
        // The dispatches of a call that only full targets refused are bounded by its wait.
        dispatch = 0;
      }
    }
  }

  /** Chooses the target of the next dispatch, once its limit allows the dispatch. */
  async #chooseWithinLimits(call: Call, repeatCount: number): Promise<TargetChoice> {
    const wait = new LimitWait();
    let pausedMilliseconds = 0;
    for (;;) {
      const choice = this.#chooseTarget(call, repeatCount);
      if (choice.kind === 'none') return choice;
      const pauseMilliseconds = choice.pauseMilliseconds - pausedMilliseconds;
      if (pauseMilliseconds > 0) await delay(pauseMilliseconds, call.endSignal);
      pausedMilliseconds += Math.max(0, pauseMilliseconds);
      const admission = await this.#parts.limitedDispatch.admit(call, choice, wait);
      if (admission.kind === 'admitted') return choice;
      if (admission.kind === 'refused') {
        const { retryAfterSeconds } = admission;
        return { kind: 'none', reason: 'limited', retryAfterSeconds };
      }
    }
  }

  /**
   * Returns the result of a call that must not continue: its caller has left, its deadline has
   * passed, it crashes its targets, or its instance is stopping.
   */
  #checkEnd(call: Call, last: AttemptOutcome | undefined): CallResult | undefined {
    if (call.isCallerGone) return { kind: 'caller-gone' };
    if (call.remainingMilliseconds <= 0) return toRefusedResult(this.#toExpiredRefusal(call));
    const rejection = this.#getQuarantineRejection(call, last);
    if (rejection) return rejection;
    if (!call.endSignal?.aborted) return undefined;
    return this.#giveUp(call, last, this.#toShutdownRefusal(call));
  }

  /** Returns the result of a call that must not run, or not again, because it crashes targets. */
  #getQuarantineRejection(call: Call, last: AttemptOutcome | undefined): CallResult | undefined {
    const { digest, history } = call;
    const stage = this.#parts.quarantine.stageOf(digest);
    if (stage === 'quarantined' && history.runs === 0) {
      return this.#giveUp(call, last, { kind: 'quarantined', digest });
    }
    if (stage !== 'quarantined' && (stage !== 'last-trial' || history.runs === 0)) return undefined;
    return this.#giveUp(call, last, { kind: 'outcome-unknown', reason: 'crashes its targets' });
  }

  async #attempt(
    call: Call,
    target: FleetTarget,
    connection: AttemptConnection,
    repeatCount: number,
  ): Promise<AttemptOutcome> {
    const attempt = new Attempt(this.#parts, {
      call,
      target,
      connection: this.#parts.access.isForwarded(target) ? { kind: 'forwarded' } : connection,
      priority: this.#computePriority(call),
      inactivityTimeout: computeInactivityTimeout(call.route),
      mayBeSent: () => this.#parts.eligibility.isEligible(call, target),
      mayPassThrough: (zone) => this.#parts.eligibility.mayReceiveBody(call, zone),
      mayGiveUpUnresponsive: () => this.#mayGiveUpUnresponsive(call, target, repeatCount),
    });
    const endTrial = this.#isOnTrial(call) ? this.#trials.begin(target.id) : undefined;
    const beganMilliseconds = performance.now();
    const eventCountBefore = call.eventCount;
    const possiblyActiveBefore = call.history.possiblyActiveTargetCount;
    const outcome = await attempt.run().finally(endTrial);
    const { possiblyActiveTargetCount } = call.history;
    if (possiblyActiveTargetCount > Math.max(possiblyActiveBefore, call.route.maximumTargets)) {
      this.#parts.metrics.increment('call.target-bound-exceeded');
    }
    if (call.responseFraming === 'until-close') {
      const ending = call.connectionFailureCode === undefined ? 'closed' : 'failed';
      this.#parts.metrics.increment('call.responses-until-close', 1, {
        connection: ending,
        outcome: outcome.kind,
      });
    }
    if (outcome.kind === 'unproven-refusal') {
      this.#parts.metrics.increment('call.unproven-refusals', 1, {
        status: String(outcome.status),
      });
    }
    if (outcome.kind === 'delivered') this.#parts.limitedDispatch.recordServed(call);
    this.#parts.limitedDispatch.recordEnd(call);
    if (outcome.kind !== 'declined') this.#fullWait.recordEnd(call);
    this.#placement.recordOutcome(target, outcome);
    if (isTargetFailure(outcome)) this.#parts.speeds.observeFailure(target.id);
    const isSuccessful = outcome.kind === 'delivered' && outcome.status < FIRST_ERROR_STATUS;
    if (isSuccessful && eventCountBefore === 0) {
      this.#placement.recordServed(call, target, performance.now() - beganMilliseconds);
    }
    if (outcome.kind !== 'delivered') {
      this.#parts.logger.info('call.attempt-ended', {
        request: call.envelope.id,
        target: target.id,
        version: target.version,
        outcome: outcome.kind,
        detail: 'detail' in outcome ? outcome.detail : undefined,
        status: 'status' in outcome ? outcome.status : undefined,
        events: call.eventCount,
        framing: call.responseFraming,
        connectionFailure: call.connectionFailureCode,
        ageMilliseconds: Math.round(call.ageMilliseconds),
        forwarder: call.forwarder,
        digest: call.digest,
        bornMilliseconds: target.bornMilliseconds,
        ranMilliseconds: attempt.ranMilliseconds && Math.round(attempt.ranMilliseconds),
        underWay: Math.round(this.#parts.loads.estimateInFlight(target.id)),
        silentMilliseconds: toLogMilliseconds(
          this.#parts.loads.getMillisecondsSinceLastByte(target.id),
        ),
        allSilentMilliseconds: toLogMilliseconds(this.#parts.loads.millisecondsSinceAnyByte),
        limitPerSecond: call.limit?.requestsPerSecond,
        limitRemaining: call.limit?.remaining,
      });
    }
    const ranMilliseconds = attempt.ranMilliseconds ?? 0;
    await this.#parts.quarantine.recordAttempt({ call, target, outcome, ranMilliseconds });
    return outcome;
  }

  /** Whether a request is kept apart from others because it may crash its target. */
  #isOnTrial({ digest }: Call): boolean {
    const stage = this.#parts.quarantine.stageOf(digest);
    return stage === 'on-trial' || stage === 'last-trial';
  }

  /** Refuses a call without a response; logs one that was dispatched, as it may have run. */
  #giveUp(call: Call, last: AttemptOutcome | undefined, refusal: Refusal): CallResult {
    if (last) {
      const reason = 'reason' in refusal ? refusal.reason : refusal.kind;
      this.#parts.logger.info('call.given-up', { ...toDispatchLogFields(call, last), reason });
    }
    return toRefusedResult(refusal);
  }

  #logRedispatch(call: Call, last: AttemptOutcome, dispatch: number, target: FleetTarget): void {
    const fields = {
      ...toDispatchLogFields(call, last),
      dispatch,
      target: target.id,
      version: target.version,
    };
    this.#parts.logger.info('call.redispatched', fields);
  }

  #computePriority({ envelope: { prompt, program }, ageMilliseconds }: Call): number | undefined {
    if (!prompt) return undefined;
    const remaining = program?.finishMilliseconds;
    return turnPriority(remaining === undefined ? undefined : remaining - ageMilliseconds);
  }

  /** Returns the result of a call after an attempt; undefined if it is dispatched again. */
  #toFinalResult(call: Call, target: FleetTarget, outcome: AttemptOutcome): CallResult | undefined {
    switch (outcome.kind) {
      case 'delivered':
      case 'caller-gone':
        return outcome;
      case 'timed-out':
        return toRefusedResult(this.#toExpiredRefusal(call));
      case 'shutting-down':
        return this.#giveUp(call, outcome, this.#toShutdownRefusal(call));
      case 'not-retained':
        return this.#giveUp(call, outcome, { kind: 'outcome-unknown', reason: outcome.kind });
      case 'declined':
        if (outcome.reason === 'misdirected') this.#parts.fleet.targets.markRefused(target);
        return undefined;
      case 'not-sent':
        if (outcome.isRefused) this.#parts.fleet.recordRefusal(target);
        return undefined;
      case 'no-path':
        if (!outcome.wasSent) return undefined;
        if (call.isRepeatable && call.history.runs < MAXIMUM_RUNS) return undefined;
        return this.#giveUp(call, outcome, { kind: 'outcome-unknown', reason: outcome.detail });
      case 'broken':
      case 'excessive':
      case 'stalled':
      case 'unproven-refusal':
        if (call.isRepeatable && call.history.runs < MAXIMUM_RUNS) return undefined;
        return this.#giveUp(call, outcome, { kind: 'outcome-unknown', reason: outcome.detail });
    }
  }

  /**
   * Whether to give up an unresponsive target, which may still continue later. It is given up if
   * the request can continue at another target or over another connection, or if the caller has
   * received nothing yet and can send a new request.
   */
  #mayGiveUpUnresponsive(call: Call, target: FleetTarget, repeatCount: number): boolean {
    if (!call.isRepeatable) return false;
    if (!call.response.headersSent) return true;
    // The stream may go on when the path is restored.
    if (this.#parts.access.isUnreachable(target)) return false;
    if (call.history.runs + 1 >= MAXIMUM_RUNS) return false;
    const { history } = call;
    const others = history.formerTargets.filter((former) => former.target.id !== target.id);
    const situation = this.#getDispatchSituation(call, repeatCount);
    const decision = decideDispatch({
      ...situation,
      formerTargets: [...others, { target, state: { kind: 'silent' } }],
      stallCount: situation.stallCount + 1,
    });
    return decision.kind !== 'give-up';
  }

  #getDispatchSituation(call: Call, repeatCount: number): DispatchSituation {
    const { formerTargets, stallCount, excludedTargetIds } = call.history;
    const { eligibility, fleet } = this.#parts;
    const { targets } = fleet;
    const mayContinueAt = (target: FleetTarget | undefined): boolean =>
      target !== undefined && maySendEvents(call.origin, target);
    const mayRepeatAt = (target: FleetTarget | undefined): boolean =>
      target !== undefined && mayContinueAt(target) && eligibility.isEligible(call, target);
    const findFormer = (id: string): FleetTarget | undefined =>
      formerTargets.find(({ target }) => target.id === id)?.target;
    return {
      maximumTargets: call.route.maximumTargets,
      remainingMilliseconds: call.remainingMilliseconds,
      formerTargets,
      stallCount,
      repeatCount,
      servingTargets: eligibility
        .filter(call, targets.getServing(call.service.name))
        .filter(mayContinueAt),
      excludedTargetIds,
      mayRepeat: (targetId) =>
        targets.mayRetry(targetId) && mayRepeatAt(targets.get(targetId) ?? findFormer(targetId)),
    };
  }

  #chooseTarget(call: Call, repeatCount: number): TargetChoice {
    const decision = decideDispatch(this.#getDispatchSituation(call, repeatCount));
    switch (decision.kind) {
      case 'dispatch':
        return this.#placeCall(call, decision.candidates);
      case 'repeat':
        return {
          ...decision,
          kind: 'target',
          candidates: [decision.target],
          isRepeat: true,
          connection: { kind: 'own' },
        };
      case 'give-up':
        return this.#explainGivingUp(call, decision.reason);
    }
  }

  #explainGivingUp(call: Call, reason: GiveUpReason): TargetChoice {
    const retryAfterSeconds = this.#parts.eligibility.explainRefusal(call);
    if (retryAfterSeconds === undefined) return { kind: 'none', reason };
    return { kind: 'none', reason: 'ineligible', retryAfterSeconds };
  }

  #placeCall(call: Call, candidates: readonly FleetTarget[]): TargetChoice {
    const targetId = this.#placement.place(call, candidates, this.#isOnTrial(call));
    const target = targetId === undefined ? undefined : this.#parts.fleet.targets.get(targetId);
    if (!target) return { kind: 'none', reason: 'no-target' };
    const placed = call;
    placed.target = target.id;
    const share = call.service.connectionLimit / Math.max(2, this.#parts.instanceCount());
    const connectionLimit = Math.max(1, Math.floor(share));
    const connection = { kind: 'shared', connectionLimit } as const;
    return {
      kind: 'target',
      target,
      candidates,
      isRepeat: false,
      connection,
      pauseMilliseconds: 0,
    };
  }

  #toExpiredRefusal(call: Call): Refusal {
    if (call.history.runs > 0) return { kind: 'timed-out' };
    return { kind: 'unavailable', reason: 'expired', retryAfterSeconds: FULL_RETRY_AFTER_SECONDS };
  }

  #toShutdownRefusal(call: Call): Refusal {
    if (call.history.runs === 0) return SHUTDOWN_REFUSAL;
    return { kind: 'outcome-unknown', reason: SHUTDOWN_REFUSAL.reason };
  }

  #noTarget(
    call: Call,
    {
      reason,
      retryAfterSeconds = FULL_RETRY_AFTER_SECONDS,
    }: { readonly reason: GiveUpReason; readonly retryAfterSeconds?: number },
  ): Refusal {
    if (call.history.runs > 0) return { kind: 'outcome-unknown', reason };
    return {
      kind: 'unavailable',
      reason: this.#describeUnavailability(call, reason),
      retryAfterSeconds,
    };
  }

  #describeUnavailability({ origin }: Call, reason: GiveUpReason): string {
    if (reason === 'limited') return 'targets are at their limits';
    if (reason === 'ineligible') return 'all targets are evacuated or outside the allowed regions';
    if (origin === undefined) return 'no target accepted the request';
    return `no target of version ${origin.version ?? 'unknown'} accepted the resumption`;
  }
}
