import type { FleetTarget } from '../targets/fleetTarget';
import type { FormerTarget } from './dispatchHistory';

/** Repeats of a request under its bound; with the first run as many as a harmful request gets. */
const MAXIMUM_REPEATS = 2;

/** Silences in one request: a lost connection explains the first, only a lost target the second. */
const MAXIMUM_SILENCES = 2;

/** A full target frees a slot in about the time of one turn. */
const FULL_PAUSE_MILLISECONDS = 250;

/** What decides where a request goes next. */
export interface DispatchSituation {
  /** Targets at which the route lets one request run. */
  readonly maximumTargets: number;
  /** Time left for the answer. */
  readonly remainingMilliseconds: number;
  /** Targets that may have run the request, in the order of their last dispatch. */
  readonly formerTargets: readonly FormerTarget[];
  /** Times that a target fell silent. */
  readonly silences: number;
  /** Times that the request was sent again under the bound. */
  readonly repeats: number;
  /** Targets that take new requests. */
  readonly serving: readonly FleetTarget[];
  /** Targets that did not take the request. */
  readonly passedOverIds: ReadonlySet<string>;
  /** Whether a target may get a request that it has had before. */
  readonly mayRepeat: (targetId: string) => boolean;
}

/** Why a request is not sent again. */
export type GiveUpReason =
  'no-target' | 'repeated' | 'silent' | 'unreachable' | 'departed' | 'full';

/** Where a request goes next. */
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

const repeatAt = (
  { target, state }: FormerTarget,
  { mayRepeat, remainingMilliseconds, silences }: DispatchSituation,
): RepeatDecision => {
  if (!mayRepeat(target.id)) return giveUp('departed');
  switch (state.kind) {
    case 'reached':
      return repeatAfter(0, target);
    case 'silent':
      return silences < MAXIMUM_SILENCES ? repeatAfter(0, target) : giveUp('silent');
    case 'unreachable':
      return giveUp('unreachable');
    case 'full':
      return remainingMilliseconds > FULL_PAUSE_MILLISECONDS
        ? repeatAfter(FULL_PAUSE_MILLISECONDS, target)
        : giveUp('full');
    case 'ended':
      return giveUp('no-target');
  }
};

/** Targets that answered something come first, and of these the latest, which has the prompt. */
const byPreference = (counted: readonly FormerTarget[]): readonly FormerTarget[] => {
  const latestFirst = [...counted].reverse();
  const isReached = ({ state }: FormerTarget): boolean => state.kind === 'reached';
  return [...latestFirst.filter(isReached), ...latestFirst.filter((former) => !isReached(former))];
};

/** Chooses the target at which a request whose places are taken goes on. */
const repeat = (counted: readonly FormerTarget[], situation: DispatchSituation): RepeatDecision => {
  if (situation.repeats >= MAXIMUM_REPEATS) return giveUp('repeated');
  const decisions = byPreference(counted).map((former) => repeatAt(former, situation));
  const allowed = decisions.find(({ kind }) => kind === 'repeat');
  return allowed ?? decisions[0] ?? giveUp('no-target');
};

/**
 * Decides where a request goes next. Its route bounds the targets that may run it. A target that
 * hangs, takes no new connections, is full or leaves keeps its place, as it may be at work still;
 * only one that is known to have ended gives its place away. A request whose places are taken is repeated
 * at those targets a few times and then given up, so that its caller can send a new one at once
 * instead of waiting for the deadline.
 */
export const decideDispatch = (situation: DispatchSituation): DispatchDecision => {
  const { formerTargets, maximumTargets, passedOverIds, serving } = situation;
  const counted = formerTargets.filter(({ state }) => state.kind !== 'ended');
  const avoidedIds = new Set(
    formerTargets.filter(({ state }) => state.kind !== 'reached').map(({ target }) => target.id),
  );
  if (counted.length < maximumTargets) {
    const candidates = serving.filter(({ id }) => !avoidedIds.has(id) && !passedOverIds.has(id));
    if (candidates.length > 0) return { kind: 'dispatch', candidates };
  }
  return repeat(counted, situation);
};
