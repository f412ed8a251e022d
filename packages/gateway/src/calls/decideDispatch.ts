import type { FleetTarget } from '../targets/fleetTarget';
import type { FormerTarget } from './dispatchHistory';

/**
 * Maximum repeats at targets that may have run the request. With the first run, this equals the
 * limit on the runs of a harmful request.
 */
const MAXIMUM_REPEATS = 2;

/** A lost connection explains the first stall of a request, but only a lost target the second. */
const MAXIMUM_STALLS = 2;

/** A full target frees a slot in about the duration of one turn. */
const FULL_PAUSE_MILLISECONDS = 250;

/** Input of the decision where a request is dispatched next. */
export interface DispatchSituation {
  /** Maximum number of targets at which the route lets one request run. */
  readonly maximumTargets: number;
  /** Time until the deadline of the response. */
  readonly remainingMilliseconds: number;
  /** Targets that may have run the request, in the order of their last dispatch. */
  readonly formerTargets: readonly FormerTarget[];
  /** Number of times that a target became unresponsive. */
  readonly stallCount: number;
  /** Number of times that the request was repeated at a target that may have run it. */
  readonly repeatCount: number;
  /** Targets that accept new requests. */
  readonly servingTargets: readonly FleetTarget[];
  /** Targets that did not accept the request. */
  readonly excludedTargetIds: ReadonlySet<string>;
  /** Whether a target may receive a request that was sent to it before. */
  readonly mayRepeat: (targetId: string) => boolean;
}

/** Why a request is not dispatched again. */
export type GiveUpReason =
  | 'no-target'
  | 'repeated'
  | 'silent'
  | 'unreachable'
  | 'departed'
  | 'full'
  | 'limited'
  | 'ineligible';

/** Where a request is dispatched next. */
export type DispatchDecision =
  | { readonly kind: 'dispatch'; readonly candidates: readonly FleetTarget[] }
  /** To a target that may have run the request, over a new connection. */
  | { readonly kind: 'repeat'; readonly target: FleetTarget; readonly pauseMilliseconds: number }
  | { readonly kind: 'give-up'; readonly reason: GiveUpReason };

type RepeatDecision = Exclude<DispatchDecision, { kind: 'dispatch' }>;

const repeatAfter = (pauseMilliseconds: number, target: FleetTarget): RepeatDecision => ({
  kind: 'repeat',
  target,
  pauseMilliseconds,
});

const giveUp = (reason: GiveUpReason): RepeatDecision => ({ kind: 'give-up', reason });

const decideRepeatAt = (
  { target, state }: FormerTarget,
  { mayRepeat, remainingMilliseconds, stallCount }: DispatchSituation,
): RepeatDecision => {
  if (!mayRepeat(target.id)) return giveUp('departed');
  switch (state.kind) {
    case 'reached':
      return repeatAfter(0, target);
    case 'silent':
      return stallCount < MAXIMUM_STALLS ? repeatAfter(0, target) : giveUp('silent');
    case 'unreachable':
      return giveUp('unreachable');
    case 'full':
      return remainingMilliseconds > FULL_PAUSE_MILLISECONDS
        ? repeatAfter(FULL_PAUSE_MILLISECONDS, target)
        : giveUp('full');
    case 'excessive':
      return giveUp('repeated');
    case 'ended':
      return giveUp('no-target');
  }
};

/** Sorts reached targets first, and the latest first among these, as it has the prompt cached. */
const sortByPreference = (countedTargets: readonly FormerTarget[]): readonly FormerTarget[] => {
  const latestFirst = [...countedTargets].reverse();
  const isReached = ({ state }: FormerTarget): boolean => state.kind === 'reached';
  return [...latestFirst.filter(isReached), ...latestFirst.filter((former) => !isReached(former))];
};

/** Chooses the target at which to repeat a request that has reached its maximum of targets. */
const decideRepeat = (
  countedTargets: readonly FormerTarget[],
  situation: DispatchSituation,
): RepeatDecision => {
  if (situation.repeatCount >= MAXIMUM_REPEATS) return giveUp('repeated');
  const decisions = sortByPreference(countedTargets).map((former) =>
    decideRepeatAt(former, situation),
  );
  const allowed = decisions.find(({ kind }) => kind === 'repeat');
  return allowed ?? decisions[0] ?? giveUp('no-target');
};

/**
 * Decides where a request is dispatched next. Its route limits the targets that may run it. A
 * target that hangs, accepts no new connections, is full or leaves still counts towards this limit,
 * as it may still be running the request; only one that is known to have ended does not. At the
 * limit, the request is repeated at those targets a few times and then given up, so that its caller
 * can send a new one immediately instead of waiting for the deadline.
 */
export const decideDispatch = (situation: DispatchSituation): DispatchDecision => {
  const { formerTargets, maximumTargets, excludedTargetIds, servingTargets } = situation;
  const countedTargets = formerTargets.filter(({ state }) => state.kind !== 'ended');
  const avoidedIds = new Set(
    formerTargets.filter(({ state }) => state.kind !== 'reached').map(({ target }) => target.id),
  );
  if (countedTargets.length < maximumTargets) {
    const candidates = servingTargets.filter(
      ({ id }) => !avoidedIds.has(id) && !excludedTargetIds.has(id),
    );
    if (candidates.length > 0) return { kind: 'dispatch', candidates };
  }
  return decideRepeat(countedTargets, situation);
};
