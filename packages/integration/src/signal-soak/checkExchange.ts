import type { TargetRun } from '@limpetnotch/stand-ins';
import { eventText } from '@limpetnotch/stand-ins';
import type { CheckContext } from './checkContext';
import type { SoakExchange } from './soakExchange';
import type { SoakRoute } from './soakRoutes';
import type { Violation } from './violation';

type Check = (exchange: SoakExchange, context: CheckContext) => string | undefined;

/** Statuses that guarantee that a request has not run and never will. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([402, 408, 421, 429, 503]);
/** Permanent rejections; every request of the soak is valid, so none may get one. */
const PERMANENT_REJECTION_STATUSES: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 431]);

/** The platform's tolerance for a connection that closes while a request is in flight to it. */
const CLOSE_RACE_MILLISECONDS = 200;
/**
 * Requests sent up to this long after SIGTERM may be aborted in the last sixth of the grace period.
 */
const SENT_AFTER_STOP_MILLISECONDS = 3_000;
const GRACE_GIVE_UP_RATIO = 5 / 6;
/** Tolerance for timers of caller, target and instance, which don't start at the same moment. */
const TIMER_SLACK_MILLISECONDS = 60;
/** The platform's tolerance for a final response after the route's timeout. */
const ANSWER_SLACK_MILLISECONDS = 500;
/** The platform's limit for new connections after SIGTERM: two missed probes and their timeouts. */
const NEW_CONNECTION_MILLISECONDS = 4_000;
const CANCELLATION_MILLISECONDS = 1_000;
/** With more lag than this the processors are overloaded, and measured times mean nothing. */
const STARVATION_LAG_MILLISECONDS = 200;

/** The version in the first event of a stream. */
const VERSION_PATTERN = /^data: \S+ (\S+)/m;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

const isInterrupted = ({ end, endedAt }: TargetRun, before: number): boolean =>
  end?.kind === 'broken' && (endedAt ?? Infinity) <= before;

/** Whether a request sent soon after the signal still ran in the grace period's last sixth. */
const isGivenUpAtGraceEnd = (
  { lifetime, record, runs }: SoakExchange,
  { graceMilliseconds }: CheckContext,
): boolean => {
  const { stoppedAt } = lifetime;
  if (stoppedAt === undefined) return false;
  const giveUpAt = stoppedAt + graceMilliseconds * GRACE_GIVE_UP_RATIO - TIMER_SLACK_MILLISECONDS;
  const sentInTime = record.beganAt <= stoppedAt + SENT_AFTER_STOP_MILLISECONDS;
  const isRunning = runs.some(({ endedAt }) => (endedAt ?? Infinity) >= giveUpAt);
  return sentInTime && record.endedAt >= giveUpAt && isRunning;
};

/** A complete request to a live process gets a complete response. */
const checkLost: Check = (exchange, context) => {
  const { record, lifetime, runs, deadlineMilliseconds, route } = exchange;
  const { outcome, sentAt, endedAt } = record;
  if (outcome.kind !== 'broken' || sentAt === undefined) return undefined;
  const duration = endedAt - sentAt;
  const closeRaceMilliseconds = CLOSE_RACE_MILLISECONDS + context.lagWithin(sentAt, endedAt);
  if (runs.length === 0 && duration <= closeRaceMilliseconds) return undefined;
  const hasResponseStarted = outcome.status !== undefined;
  const limit = Math.min(deadlineMilliseconds, route.timeoutMilliseconds);
  if (hasResponseStarted && duration >= limit - TIMER_SLACK_MILLISECONDS) return undefined;
  if (hasResponseStarted && runs.some((run) => isInterrupted(run, endedAt))) return undefined;
  if (isGivenUpAtGraceEnd(exchange, context)) return undefined;
  // An instance that has lost its connections can't always go on through another one.
  const lostModes = ['drop', 'reset'] as const;
  const hasLostConnections = lifetime.hasLostConnections(record.beganAt, endedAt, lostModes);
  if (hasResponseStarted && hasLostConnections) return undefined;
  // The targets run in this process: while it lags, they don't respond.
  const wasLagging = context.lagWithin(record.beganAt, endedAt) > STARVATION_LAG_MILLISECONDS;
  const isTargetUnresponsive =
    hasResponseStarted && (wasLagging || runs.some(({ wasSilent }) => wasSilent));
  // The platform's rules allow cutting a stream whose target is unresponsive, but not after a stop.
  if (isTargetUnresponsive && (lifetime.stoppedAt ?? Infinity) > endedAt) return undefined;
  const cause = isTargetUnresponsive ? ', its target silent' : '';
  return `closed ${hasResponseStarted ? 'in its answer' : 'unanswered'}${cause} (${outcome.detail})`;
};

const mayRepeat = ({ kind, isResumable }: SoakRoute): boolean =>
  kind === 'safe' || (kind === 'stream' && isResumable);

const checkRefusal: Check = ({ route, record: { outcome }, runs }) => {
  if (outcome.kind !== 'answered') return undefined;
  // The status of a target itself denies the run only to callers that may not repeat the request.
  if (outcome.signature !== undefined && mayRepeat(route)) return undefined;
  const hasRunDespiteRefusal = NOT_EXECUTED_STATUSES.has(outcome.status) && runs.length > 0;
  return hasRunDespiteRefusal ? `answered ${outcome.status}, but it ran` : undefined;
};

const checkDenied: Check = ({ record: { outcome } }) => {
  if (outcome.kind !== 'answered' || outcome.signature !== undefined) return undefined;
  return PERMANENT_REJECTION_STATUSES.has(outcome.status)
    ? `denied with ${outcome.status}`
    : undefined;
};

const checkRepeatedRun: Check = ({ route, runs }) =>
  !mayRepeat(route) && runs.length > 1 ? `ran ${runs.length} times` : undefined;

const checkTargetCount: Check = ({ route, runs, record }, { targetEndedAt }) => {
  const liveTargets = new Set(
    runs
      .map(({ targetId }) => targetId)
      .filter((id) => (targetEndedAt(id) ?? Infinity) > record.endedAt),
  );
  if (liveTargets.size <= route.maximumTargets) return undefined;
  return `ran at ${liveTargets.size} targets of ${route.maximumTargets}`;
};

const checkEvents: Check = ({ route, record: { request, outcome }, steps }) => {
  if (route.kind !== 'stream') return undefined;
  const isStream = outcome.kind !== 'answered' || isSuccess(outcome.status);
  if (!isStream) return undefined;
  const version = VERSION_PATTERN.exec(outcome.body)?.[1] ?? '';
  // Events of another version don't match the text of the version that began the stream.
  const completeText = eventText(request.id, version, 1, steps);
  if (outcome.kind === 'answered') {
    return outcome.body === completeText
      ? undefined
      : 'complete, but events are missing or come twice';
  }
  const isFailure = outcome.kind === 'broken' && !isSuccess(outcome.status ?? 200);
  if (isFailure || completeText.startsWith(outcome.body)) return undefined;
  return 'events are missing or come twice';
};

const checkAnswer: Check = ({ route, record: { outcome }, runs }) => {
  if (outcome.kind !== 'answered') return undefined;
  const { status, signature, body } = outcome;
  if (signature === undefined) {
    return isSuccess(status) ? 'a success without a signature' : undefined;
  }
  const run = runs.find((one) => one.signature === signature);
  if (!run) return 'the signature is of no run of it';
  // A resumed stream keeps the signature of its first run, which was interrupted.
  if (route.kind === 'stream' && isSuccess(status)) return undefined;
  const isUnchanged =
    run.end?.kind === 'answered' && run.end.status === status && run.end.body === body;
  return isUnchanged ? undefined : `${status} is not what its target answered`;
};

const checkTime: Check = ({ route, record }) => {
  const { outcome, sentAt, endedAt } = record;
  if (sentAt === undefined || outcome.kind === 'left') return undefined;
  const durationMilliseconds = endedAt - sentAt;
  const limit = route.timeoutMilliseconds + ANSWER_SLACK_MILLISECONDS;
  return durationMilliseconds > limit
    ? `no final answer after ${Math.round(durationMilliseconds)} ms`
    : undefined;
};

const checkNewConnection: Check = ({ lifetime: { stoppedAt }, record, runs }) => {
  if (stoppedAt === undefined) return undefined;
  const ageMilliseconds = record.connectedAt - stoppedAt;
  const isAccepted = record.outcome.kind === 'answered' || runs.length > 0;
  if (!isAccepted || ageMilliseconds <= NEW_CONNECTION_MILLISECONDS) return undefined;
  return `taken from a connection opened ${Math.round(ageMilliseconds)} ms after the stop`;
};

const checkCancelled: Check = ({ record, runs, lifetime }) => {
  if (record.outcome.kind !== 'left' || record.sentAt === undefined) return undefined;
  // No target learns of it while packets are dropped.
  const cancelledBy = record.endedAt + CANCELLATION_MILLISECONDS;
  if (lifetime.hasLostConnections(record.beganAt, cancelledBy, ['drop'])) return undefined;
  const limit = record.endedAt + CANCELLATION_MILLISECONDS;
  const lateRun = runs.find(({ endedAt = Infinity }) => endedAt > limit);
  return lateRun && `its caller left, and ${lateRun.targetId} works on`;
};

const CHECKS: Readonly<Record<string, Check>> = {
  lost: checkLost,
  refusal: checkRefusal,
  denied: checkDenied,
  twice: checkRepeatedRun,
  targets: checkTargetCount,
  events: checkEvents,
  answer: checkAnswer,
  time: checkTime,
  'new-connection': checkNewConnection,
  cancelled: checkCancelled,
};

/** A check that applies only if the process is undisturbed for a time around the request. */
interface UndisturbedCheck {
  readonly beforeMilliseconds: number;
  readonly afterMilliseconds: number;
  /** Whether it checks times, which mean nothing while the processors are overloaded. */
  readonly isTimed: boolean;
}

const UNDISTURBED_CHECKS: Readonly<Record<string, UndisturbedCheck>> = {
  lost: { beforeMilliseconds: 0, afterMilliseconds: 0, isTimed: false },
  time: { beforeMilliseconds: 0, afterMilliseconds: 0, isTimed: true },
  'new-connection': { beforeMilliseconds: 0, afterMilliseconds: 0, isTimed: true },
  cancelled: { beforeMilliseconds: 0, afterMilliseconds: CANCELLATION_MILLISECONDS, isTimed: true },
  // The platform's stable window: a paused process has to receive new routes first.
  denied: { beforeMilliseconds: 3_000, afterMilliseconds: 0, isTimed: true },
};

const isExempt = (
  check: string,
  { lifetime, record }: SoakExchange,
  { lagWithin }: CheckContext,
): boolean => {
  const undisturbed = UNDISTURBED_CHECKS[check];
  if (!undisturbed) return false;
  const from = record.beganAt - undisturbed.beforeMilliseconds;
  const to = record.endedAt + undisturbed.afterMilliseconds;
  const isStarved = undisturbed.isTimed && lagWithin(from, to) > STARVATION_LAG_MILLISECONDS;
  return isStarved || lifetime.isDisturbed(from, to);
};

const describeRun = ({ targetId, startedAt, endedAt, end }: TargetRun, origin: number): string => {
  const to = endedAt === undefined ? '' : Math.round(endedAt - origin);
  return `${targetId} ${Math.round(startedAt - origin)}..${to} ms ${end?.kind ?? 'open'}`;
};

const describeExchange = ({ record, lifetime, runs, route }: SoakExchange): string => {
  const { beganAt, endedAt, connectedAt, outcome } = record;
  const status = 'status' in outcome ? ` ${outcome.status ?? ''}` : '';
  const spans = runs.map((run) => describeRun(run, beganAt)).join('; ');
  return [
    `${route.name}, connected ${Math.round(beganAt - connectedAt)} ms before`,
    `${outcome.kind}${status} after ${Math.round(endedAt - beganAt)} ms`,
    `runs: ${spans || 'none'}`,
    lifetime.describeSignals(endedAt),
  ].join('; ');
};

/** Checks one request against the observations of its caller and the targets. */
export const checkExchange = (
  exchange: SoakExchange,
  context: CheckContext,
): readonly Violation[] => {
  const { record, lifetime } = exchange;
  return Object.entries(CHECKS).flatMap(([check, find]) => {
    if (isExempt(check, exchange, context)) return [];
    const found = find(exchange, context);
    if (found === undefined) return [];
    const text = `${found}: ${describeExchange(exchange)}`;
    return [{ check, lifetime: lifetime.name, requestId: record.request.id, text }];
  });
};
