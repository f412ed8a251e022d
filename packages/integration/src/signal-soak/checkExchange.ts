import type { TargetRun } from '@limpetnotch/stand-ins';
import { eventText } from '@limpetnotch/stand-ins';
import type { CheckContext } from './checkContext';
import type { SoakExchange } from './soakExchange';
import type { Violation } from './violation';

type Check = (exchange: SoakExchange, context: CheckContext) => string | undefined;

/** Statuses by which an instance promises that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([402, 408, 421, 429, 503]);
/** Refusals for good, which no request of the soak deserves. */
const DENIALS: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 431]);

/** A connection may be closed while a request is on its way; the platform's slack for that. */
const CROSSING_MILLISECONDS = 200;
/** Requests sent up to this long after SIGTERM may be given up in the last sixth of the grace. */
const SENT_BEFORE_END_MILLISECONDS = 3_000;
const LAST_PART_OF_GRACE = 5 / 6;
/** Timers of caller, target and instance don't begin at the same moment. */
const TIMER_SLACK_MILLISECONDS = 60;
/** The platform's slack for a final answer after the route's time. */
const ANSWER_SLACK_MILLISECONDS = 500;
/** Platform's bound for new connections after SIGTERM: two missed questions and their waits. */
const NEW_CONNECTION_MILLISECONDS = 4_000;
const CANCEL_MILLISECONDS = 1_000;
/** Processes of a machine whose processors are taken are late; their times say nothing then. */
const STARVED_MILLISECONDS = 200;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

const isBrokenOff = ({ end, endedAt }: TargetRun, before: number): boolean =>
  end?.kind === 'broken' && (endedAt ?? Infinity) <= before;

/** Whether the grace period's last sixth is reached with a request sent soon after the signal. */
const isGivenUpAtEnd = (
  { lifetime, record, runs }: SoakExchange,
  { graceMilliseconds }: CheckContext,
): boolean => {
  const { stoppedAt } = lifetime;
  if (stoppedAt === undefined) return false;
  const lastPart = stoppedAt + graceMilliseconds * LAST_PART_OF_GRACE - TIMER_SLACK_MILLISECONDS;
  const sentInTime = record.beganAt <= stoppedAt + SENT_BEFORE_END_MILLISECONDS;
  const isAtWork = runs.some(({ endedAt }) => (endedAt ?? Infinity) >= lastPart);
  return sentInTime && record.endedAt >= lastPart && isAtWork;
};

/** A whole request to a live process gets a whole answer. */
const checkLost: Check = (exchange, context) => {
  const { record, lifetime, runs, deadlineMilliseconds, route } = exchange;
  const { outcome, sentAt, endedAt } = record;
  if (outcome.kind !== 'broken' || sentAt === undefined) return undefined;
  const lasted = endedAt - sentAt;
  const crossing = CROSSING_MILLISECONDS + context.lagWithin(sentAt, endedAt);
  if (runs.length === 0 && lasted <= crossing) return undefined;
  const isBegun = outcome.status !== undefined;
  const limit = Math.min(deadlineMilliseconds, route.timeoutMilliseconds);
  if (isBegun && lasted >= limit - TIMER_SLACK_MILLISECONDS) return undefined;
  if (isBegun && runs.some((run) => isBrokenOff(run, endedAt))) return undefined;
  if (isGivenUpAtEnd(exchange, context)) return undefined;
  // The targets live in this process: while it lags, they are silent.
  const wasLagging = context.lagWithin(record.beganAt, endedAt) > STARVED_MILLISECONDS;
  const isSilent = isBegun && (wasLagging || runs.some(({ wasSilent }) => wasSilent));
  // A silent target is no reason to cut a stream around a stop; at other times the page allows it.
  if (isSilent && (lifetime.stoppedAt ?? Infinity) > endedAt) return undefined;
  const cause = isSilent ? ', its target silent' : '';
  return `closed ${isBegun ? 'in its answer' : 'unanswered'}${cause} (${outcome.detail})`;
};

const checkRefusal: Check = ({ record: { outcome }, runs }) => {
  if (outcome.kind !== 'answered' || outcome.signature !== undefined) return undefined;
  const isFalse = PROMISES.has(outcome.status) && runs.length > 0;
  return isFalse ? `answered ${outcome.status}, but it ran` : undefined;
};

const checkDenied: Check = ({ record: { outcome } }) => {
  if (outcome.kind !== 'answered' || outcome.signature !== undefined) return undefined;
  return DENIALS.has(outcome.status) ? `denied with ${outcome.status}` : undefined;
};

const checkTwice: Check = ({ route, runs }) => {
  const mayRepeat = route.kind === 'safe' || (route.kind === 'stream' && route.isResumable);
  return !mayRepeat && runs.length > 1 ? `ran ${runs.length} times` : undefined;
};

const checkTargets: Check = ({ route, runs, record }, { targetEndedAt }) => {
  const lasting = new Set(
    runs
      .map(({ targetId }) => targetId)
      .filter((id) => (targetEndedAt(id) ?? Infinity) > record.endedAt),
  );
  if (lasting.size <= route.maximumTargets) return undefined;
  return `ran at ${lasting.size} targets of ${route.maximumTargets}`;
};

const checkEvents: Check = ({ route, record: { request, outcome }, steps }) => {
  if (route.kind !== 'stream') return undefined;
  const isStream = outcome.kind !== 'answered' || isSuccess(outcome.status);
  if (!isStream) return undefined;
  const whole = eventText(request.id, 1, steps);
  if (outcome.kind === 'answered') {
    return outcome.body === whole ? undefined : 'complete, but events are missing or come twice';
  }
  const isFailure = outcome.kind === 'broken' && !isSuccess(outcome.status ?? 200);
  if (isFailure || whole.startsWith(outcome.body)) return undefined;
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
  // A resumed stream keeps the signature of its first run, which broke off.
  if (route.kind === 'stream' && isSuccess(status)) return undefined;
  const isSame = run.end?.kind === 'answered' && run.end.status === status && run.end.body === body;
  return isSame ? undefined : `${status} is not what its target answered`;
};

const checkTime: Check = ({ route, record }) => {
  const { outcome, sentAt, endedAt } = record;
  if (sentAt === undefined || outcome.kind === 'left') return undefined;
  const lasted = endedAt - sentAt;
  const limit = route.timeoutMilliseconds + ANSWER_SLACK_MILLISECONDS;
  return lasted > limit ? `no final answer after ${Math.round(lasted)} ms` : undefined;
};

const checkNewConnection: Check = ({ lifetime: { stoppedAt }, record, runs }) => {
  if (stoppedAt === undefined) return undefined;
  const late = record.connectedAt - stoppedAt;
  const isTaken = record.outcome.kind === 'answered' || runs.length > 0;
  if (!isTaken || late <= NEW_CONNECTION_MILLISECONDS) return undefined;
  return `taken from a connection opened ${Math.round(late)} ms after the stop`;
};

const checkCancelled: Check = ({ record, runs }) => {
  if (record.outcome.kind !== 'left' || record.sentAt === undefined) return undefined;
  const limit = record.endedAt + CANCEL_MILLISECONDS;
  const late = runs.find(({ endedAt = Infinity }) => endedAt > limit);
  return late && `its caller left, and ${late.targetId} works on`;
};

const CHECKS: Readonly<Record<string, Check>> = {
  lost: checkLost,
  refusal: checkRefusal,
  denied: checkDenied,
  twice: checkTwice,
  targets: checkTargets,
  events: checkEvents,
  answer: checkAnswer,
  time: checkTime,
  'new-connection': checkNewConnection,
  cancelled: checkCancelled,
};

/** A check that holds for processes that run undisturbed for a time around the request. */
interface CalmCheck {
  readonly before: number;
  readonly after: number;
  /** Whether it is about times, which mean nothing while processors are taken by others. */
  readonly isTimed: boolean;
}

const CALM_CHECKS: Readonly<Record<string, CalmCheck>> = {
  lost: { before: 0, after: 0, isTimed: false },
  time: { before: 0, after: 0, isTimed: true },
  'new-connection': { before: 0, after: 0, isTimed: true },
  cancelled: { before: 0, after: CANCEL_MILLISECONDS, isTimed: true },
  // The platform's stable window: a process that was paused has to hear of new routes first.
  denied: { before: 3_000, after: 0, isTimed: true },
};

const isExempt = (
  check: string,
  { lifetime, record }: SoakExchange,
  { lagWithin }: CheckContext,
): boolean => {
  const calm = CALM_CHECKS[check];
  if (!calm) return false;
  const from = record.beganAt - calm.before;
  const to = record.endedAt + calm.after;
  const isStarved = calm.isTimed && lagWithin(from, to) > STARVED_MILLISECONDS;
  return isStarved || lifetime.isDisturbed(from, to);
};

const describeRun = ({ targetId, startedAt, endedAt, end }: TargetRun, origin: number): string => {
  const to = endedAt === undefined ? '' : Math.round(endedAt - origin);
  return `${targetId} ${Math.round(startedAt - origin)}..${to} ms ${end?.kind ?? 'open'}`;
};

const describe = ({ record, lifetime, runs, route }: SoakExchange): string => {
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

/** Checks one request by what its caller and the targets saw. */
export const checkExchange = (
  exchange: SoakExchange,
  context: CheckContext,
): readonly Violation[] => {
  const { record, lifetime } = exchange;
  return Object.entries(CHECKS).flatMap(([check, find]) => {
    if (isExempt(check, exchange, context)) return [];
    const found = find(exchange, context);
    if (found === undefined) return [];
    const text = `${found}: ${describe(exchange)}`;
    return [{ check, lifetime: lifetime.name, requestId: record.request.id, text }];
  });
};
