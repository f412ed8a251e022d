import type { LogFields, Metrics } from '@limpetnotch/observability';
import { placeRequest, trialTargets, turnPriority } from '@limpetnotch/scheduling';
import type { PlacementWork, PrefixDirectory, TargetSpeeds } from '@limpetnotch/scheduling';
import { delay } from '@limpetnotch/supervision';
import type { RequestQuarantine } from '../quarantine/requestQuarantine';
import { TrialRuns } from '../quarantine/trialRuns';
import type { FleetTarget } from '../targets/fleetTarget';
import type { AttemptConnection, AttemptParts } from './attempt';
import { Attempt } from './attempt';
import type { AttemptOutcome } from './attemptOutcome';
import type { Call } from './call';
import { decideDispatch } from './redispatch';
import type { DispatchSituation, GiveUpReason } from './redispatch';
import type { Refusal } from './refusal';
import { silenceBoundOf } from './silenceBound';
import { SHUTTING_DOWN } from './shuttingDown';

/** Dispatches that a request gets at most, declined ones included. */
const MAXIMUM_DISPATCHES = 6;

/** Runs of one request at most: one that broke off this often may be what breaks its targets. */
const MAXIMUM_RUNS = 3;

/** Time of a turn before any was measured, in milliseconds. */
const UNKNOWN_TURN_MILLISECONDS = 200;

/** Callers come back after the time in which a full target frees a slot. */
const FULL_RETRY_AFTER_SECONDS = 0.25;

const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

/** How a call ended. */
export type CallResult =
  | { readonly kind: 'delivered'; readonly status: number }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** What a runner of calls needs of the instance. */
export interface CallRunnerParts extends AttemptParts {
  readonly availabilityZone: string;
  readonly prefixes: PrefixDirectory;
  readonly speeds: TargetSpeeds;
  readonly metrics: Metrics;
  readonly quarantine: RequestQuarantine;
  /** Instances that share the connections of a target. */
  readonly instanceCount: () => number;
}

/** Where a call goes next. */
type TargetChoice =
  | {
      readonly kind: 'target';
      readonly target: FleetTarget;
      readonly connection: AttemptConnection;
      readonly pauseMilliseconds: number;
    }
  | { readonly kind: 'none'; readonly reason: GiveUpReason };

/** Whether an attempt ended in a way that speaks against its target. */
const isTargetFailure = (outcome: AttemptOutcome): boolean => {
  switch (outcome.kind) {
    case 'broken':
    case 'stalled':
      return true;
    case 'timed-out':
      return outcome.wasSent;
    case 'delivered':
      return outcome.status >= FIRST_SERVER_ERROR_STATUS;
    case 'caller-gone':
    case 'declined':
    case 'not-sent':
    case 'shutting-down':
      return false;
  }
};

/** What decides whether a request may be sent again, for the log. */
const dispatchFields = (call: Call, last: AttemptOutcome): LogFields => {
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
    ageMilliseconds: Math.round(call.ageMilliseconds),
  };
};

const refused = (refusal: Refusal): CallResult => ({ kind: 'refused', refusal });

/** Runs admitted calls: chooses targets, dispatches, and repeats where that is allowed. */
export class CallRunner {
  readonly #parts: CallRunnerParts;

  readonly #trials = new TrialRuns();

  constructor(parts: CallRunnerParts) {
    this.#parts = parts;
  }

  /** Runs a call to its end. */
  async run(call: Call): Promise<CallResult> {
    let repeats = 0;
    let last: AttemptOutcome | undefined;
    for (let dispatch = 1; dispatch <= MAXIMUM_DISPATCHES; dispatch += 1) {
      const choice = this.#choose(call, repeats);
      if (choice.kind === 'none') {
        return this.#overOf(call, last) ?? this.#giveUp(call, last, this.#noTarget(call, choice));
      }
      const { target, connection, pauseMilliseconds } = choice;
      if (pauseMilliseconds > 0) await delay(pauseMilliseconds, call.ending);
      const over = this.#overOf(call, last);
      if (over) return over;
      if (last) this.#logRedispatch(call, last, dispatch, target);
      if (connection.kind === 'own') repeats += 1;
      last = await this.#attempt(call, target, connection, repeats);
      const result = this.#conclude(call, target, last);
      if (result) return result;
    }
    return this.#giveUp(call, last, this.#noTarget(call, { reason: 'no-target' }));
  }

  /**
   * Returns how a call ends that must not go on: nobody waits for it, it crashes its targets, or its
   * instance stops.
   */
  #overOf(call: Call, last: AttemptOutcome | undefined): CallResult | undefined {
    if (call.isCallerGone) return { kind: 'caller-gone' };
    if (call.remainingMilliseconds <= 0) return refused(this.#expired(call));
    const barred = this.#barredOf(call, last);
    if (barred) return barred;
    if (!call.ending?.aborted) return undefined;
    return this.#giveUp(call, last, this.#shuttingDown(call));
  }

  /** Returns how a call ends that is not to run, or not again, as it crashes its targets. */
  #barredOf(call: Call, last: AttemptOutcome | undefined): CallResult | undefined {
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
    repeats: number,
  ): Promise<AttemptOutcome> {
    const attempt = new Attempt(this.#parts, {
      call,
      target,
      connection,
      priority: this.#priorityOf(call),
      silence: silenceBoundOf(call.route),
      mayGiveUpSilent: () => this.#mayGiveUpSilent(call, target, repeats),
    });
    const endTrial = this.#isOnTrial(call) ? this.#trials.begin(target.id) : undefined;
    const beganMilliseconds = performance.now();
    const eventsBefore = call.events;
    const openBefore = call.history.openTargets;
    const outcome = await attempt.run().finally(endTrial);
    const { openTargets } = call.history;
    if (openTargets > Math.max(openBefore, call.route.maximumTargets)) {
      this.#parts.metrics.increment('call.target-bound-exceeded');
    }
    if (isTargetFailure(outcome)) this.#parts.speeds.observeFailure(target.id);
    const isWhole = outcome.kind === 'delivered' && outcome.status < FIRST_ERROR_STATUS;
    if (isWhole && eventsBefore === 0) {
      this.#learn(call, target, performance.now() - beganMilliseconds);
    }
    if (outcome.kind !== 'delivered') {
      this.#parts.logger.info('call.attempt-ended', {
        request: call.envelope.id,
        target: target.id,
        outcome: outcome.kind,
        detail: 'detail' in outcome ? outcome.detail : undefined,
        events: call.events,
        ageMilliseconds: Math.round(call.ageMilliseconds),
        digest: call.digest,
        bornMilliseconds: target.bornMilliseconds,
        ranMilliseconds: attempt.ranMilliseconds && Math.round(attempt.ranMilliseconds),
        underWay: Math.round(this.#parts.loads.estimate(target.id)),
      });
    }
    const ranMilliseconds = attempt.ranMilliseconds ?? 0;
    await this.#parts.quarantine.noteAttempt({ call, target, outcome, ranMilliseconds });
    return outcome;
  }

  /** Whether a request runs apart from others, as one that may crash its target. */
  #isOnTrial({ digest }: Call): boolean {
    const stage = this.#parts.quarantine.stageOf(digest);
    return stage === 'on-trial' || stage === 'last-trial';
  }

  /** Ends a call that has no answer; one that was sent is logged, as it may have run. */
  #giveUp(call: Call, last: AttemptOutcome | undefined, refusal: Refusal): CallResult {
    if (last) {
      const reason = 'reason' in refusal ? refusal.reason : refusal.kind;
      this.#parts.logger.info('call.given-up', { ...dispatchFields(call, last), reason });
    }
    return refused(refusal);
  }

  #logRedispatch(call: Call, last: AttemptOutcome, dispatch: number, target: FleetTarget): void {
    const fields = { ...dispatchFields(call, last), dispatch, target: target.id };
    this.#parts.logger.info('call.redispatched', fields);
  }

  #priorityOf({ envelope: { prompt, program }, ageMilliseconds }: Call): number | undefined {
    if (!prompt) return undefined;
    const remaining = program?.finishMilliseconds;
    return turnPriority(remaining === undefined ? undefined : remaining - ageMilliseconds);
  }

  /** Notes how fast a target served a call, and what it has in memory now. */
  #learn(call: Call, target: FleetTarget, milliseconds: number): void {
    const { prompt } = call.envelope;
    const { speeds } = this.#parts;
    if (!prompt) {
      speeds.observe(target.id, call.route.name, milliseconds);
      return;
    }
    // The time to the first event says more of the queue and the prompt than of the target.
    const generating = call.ageMilliseconds - call.answeredAtMilliseconds;
    if (call.events > 1) {
      speeds.observe(target.id, call.route.name, (generating * call.events) / (call.events - 1));
    }
    const generated = call.events * (call.service.engine?.tokensPerEvent ?? 0);
    this.#parts.prefixes.note(target.id, prompt.parts, generated);
  }

  /** Returns how the call ends after an attempt; undefined where it is dispatched again. */
  #conclude(call: Call, target: FleetTarget, outcome: AttemptOutcome): CallResult | undefined {
    switch (outcome.kind) {
      case 'delivered':
      case 'caller-gone':
        return outcome;
      case 'timed-out':
        return refused(this.#expired(call));
      case 'shutting-down':
        return this.#giveUp(call, outcome, this.#shuttingDown(call));
      case 'declined':
        if (outcome.reason === 'misdirected') this.#parts.fleet.targets.markRefused(target);
        return undefined;
      case 'not-sent':
        if (outcome.isRefused) this.#parts.fleet.targets.markRefused(target);
        return undefined;
      case 'broken':
      case 'stalled':
        if (call.isRepeatable && call.history.runs < MAXIMUM_RUNS) return undefined;
        return this.#giveUp(call, outcome, { kind: 'outcome-unknown', reason: outcome.detail });
    }
  }

  /**
   * A target that is silent may go on later. It is given up where the request goes on elsewhere or
   * over another connection, or where a caller that has no answer yet can send a new request.
   */
  #mayGiveUpSilent(call: Call, target: FleetTarget, repeats: number): boolean {
    if (!call.isRepeatable) return false;
    if (!call.response.headersSent) return true;
    if (call.history.runs + 1 >= MAXIMUM_RUNS) return false;
    const { history } = call;
    const others = history.formerTargets.filter((former) => former.target.id !== target.id);
    const situation = this.#situationOf(call, repeats);
    const decision = decideDispatch({
      ...situation,
      formerTargets: [...others, { target, state: { kind: 'silent' } }],
      silences: situation.silences + 1,
    });
    return decision.kind !== 'give-up';
  }

  #situationOf(call: Call, repeats: number): DispatchSituation {
    const { formerTargets, silences, passedOverIds } = call.history;
    const { targets } = this.#parts.fleet;
    return {
      maximumTargets: call.route.maximumTargets,
      remainingMilliseconds: call.remainingMilliseconds,
      formerTargets,
      silences,
      repeats,
      serving: targets.serving(call.service.name),
      passedOverIds,
      mayRepeat: (targetId) => targets.mayRepeat(targetId),
    };
  }

  #choose(call: Call, repeats: number): TargetChoice {
    const decision = decideDispatch(this.#situationOf(call, repeats));
    switch (decision.kind) {
      case 'dispatch':
        return this.#place(call, decision.candidates);
      case 'repeat':
        return { ...decision, kind: 'target', connection: { kind: 'own' } };
      case 'give-up':
        return { kind: 'none', reason: decision.reason };
    }
  }

  #place(call: Call, candidates: readonly FleetTarget[]): TargetChoice {
    const { fleet, availabilityZone } = this.#parts;
    const parts = call.envelope.prompt?.parts ?? [];
    const placement = placeRequest(
      { availabilityZone, work: this.#workOf(call) },
      trialTargets(
        candidates.map((target) => ({
          ...target,
          estimatedLoad: this.#parts.loads.estimate(target.id),
          trials: this.#trials.at(target.id),
        })),
        this.#isOnTrial(call),
      ).map((target) => ({
        id: target.id,
        availabilityZone: target.availabilityZone,
        slots: target.slots,
        estimatedLoad: target.estimatedLoad,
        slowness: this.#parts.speeds.slowness(target.id),
        cachedTokens: this.#parts.prefixes.cachedTokens(target.id, parts),
      })),
    );
    const target = placement && fleet.targets.get(placement.targetId);
    if (!target) return { kind: 'none', reason: 'no-target' };
    const placed = call;
    placed.placement = placement.reason;
    placed.target = target.id;
    const share = call.service.connectionLimit / Math.max(2, this.#parts.instanceCount());
    const connectionLimit = Math.max(1, Math.floor(share));
    const connection = { kind: 'shared', connectionLimit } as const;
    return { kind: 'target', target, connection, pauseMilliseconds: 0 };
  }

  #workOf({ envelope: { prompt, program }, route }: Call): PlacementWork {
    if (!prompt || !route.hasSessionAffinity) return { kind: 'plain' };
    return {
      kind: 'model',
      affinityKey: program?.id ?? prompt.parts.at(-1)?.id,
      promptTokens: prompt.inputTokens,
      usualMilliseconds:
        this.#parts.speeds.usualMilliseconds(route.name) ?? UNKNOWN_TURN_MILLISECONDS,
    };
  }

  #expired(call: Call): Refusal {
    if (call.history.runs > 0) return { kind: 'timed-out' };
    return { kind: 'unavailable', reason: 'expired', retryAfterSeconds: FULL_RETRY_AFTER_SECONDS };
  }

  #shuttingDown(call: Call): Refusal {
    if (call.history.runs === 0) return SHUTTING_DOWN;
    return { kind: 'outcome-unknown', reason: SHUTTING_DOWN.reason };
  }

  #noTarget(call: Call, { reason }: { readonly reason: GiveUpReason }): Refusal {
    if (call.history.runs > 0) return { kind: 'outcome-unknown', reason };
    return {
      kind: 'unavailable',
      reason: 'no target took it',
      retryAfterSeconds: FULL_RETRY_AFTER_SECONDS,
    };
  }
}
