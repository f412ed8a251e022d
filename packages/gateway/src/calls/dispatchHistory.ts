import type { FleetTarget } from '../targets/fleetTarget';
import type { CrashEvidence } from '../targets/crashDetector';
import type { AttemptOutcome } from './attemptOutcome';

/** Last known state of a target that may have run a request. */
export type FormerTargetState =
  /** It accepted the request, and nothing indicates that a new connection would fail. */
  | { readonly kind: 'reached' }
  /** It accepted the request and became unresponsive. */
  | { readonly kind: 'silent' }
  /** It accepted the request and may still be running it; a later connection attempt failed. */
  | { readonly kind: 'unreachable' }
  /** It accepted the request, and declined a later dispatch of it, or answered as if it had. */
  | { readonly kind: 'full' }
  /** Its response cost more than one may, and another one would as well. */
  | { readonly kind: 'excessive' }
  | { readonly kind: 'ended'; readonly evidence: CrashEvidence };

/** A target that may have run a request. */
export interface FormerTarget {
  readonly target: FleetTarget;
  readonly state: FormerTargetState;
}

/**
 * A process that has exited loses its connections and refuses new ones. A process that only closed
 * its listener, as a leaving target does, refuses them too, and may still be running the request.
 */
const computeStateAfterRefusal = (
  previous: FormerTarget,
  target: FleetTarget,
): FormerTargetState => {
  const isLeaving = previous.target.state === 'leaving' || target.state === 'leaving';
  switch (previous.state.kind) {
    case 'ended':
      return previous.state;
    case 'reached':
      return isLeaving
        ? { kind: 'unreachable' }
        : { kind: 'ended', evidence: 'connection-refused' };
    case 'silent':
    case 'unreachable':
    case 'full':
    case 'excessive':
      return { kind: 'unreachable' };
  }
};

const computeStateAfter = (
  previous: FormerTarget | undefined,
  target: FleetTarget,
  outcome: AttemptOutcome,
): FormerTargetState => {
  switch (outcome.kind) {
    case 'declined':
      return outcome.reason === 'misdirected'
        ? { kind: 'ended', evidence: 'answered-as-another' }
        : { kind: 'full' };
    case 'not-sent':
      return outcome.isRefused && previous
        ? computeStateAfterRefusal(previous, target)
        : { kind: 'unreachable' };
    case 'stalled':
      return { kind: 'silent' };
    case 'unproven-refusal':
      return { kind: 'full' };
    case 'excessive':
      return { kind: 'excessive' };
    case 'delivered':
    case 'broken':
    case 'caller-gone':
    case 'no-path':
    case 'not-retained':
    case 'shutting-down':
    case 'timed-out':
      return { kind: 'reached' };
  }
};

/** Targets that may have run one request of a caller, with the last known state of each. */
export class DispatchHistory {
  readonly #runTargetIds: string[] = [];

  readonly #formerTargets = new Map<string, FormerTarget>();

  readonly #excludedTargetIds = new Set<string>();

  /** Targets that refused the request because they were full. */
  readonly #fullTargetIds = new Set<string>();

  #stallCount = 0;

  /** Number of dispatches after which the request may have run. */
  get runs(): number {
    return this.#runTargetIds.length;
  }

  /** Target of the last dispatch after which the request may have run. */
  get lastTargetId(): string | undefined {
    return this.#runTargetIds.at(-1);
  }

  /** Number of times that a target became unresponsive. */
  get stallCount(): number {
    return this.#stallCount;
  }

  /** Targets that did not accept the request and have not run it. */
  get excludedTargetIds(): ReadonlySet<string> {
    return this.#excludedTargetIds;
  }

  /** Targets that may have run the request, in the order of their last dispatch. */
  get formerTargets(): readonly FormerTarget[] {
    return [...this.#formerTargets.values()];
  }

  /** Number of targets that may have run the request and are not known to have ended since. */
  get possiblyActiveTargetCount(): number {
    return this.formerTargets.filter(({ state }) => state.kind !== 'ended').length;
  }

  /** Lets targets that refused the request because they were full get it again. */
  forgetRefusals(): void {
    this.#fullTargetIds.forEach((id) => this.#excludedTargetIds.delete(id));
    this.#fullTargetIds.clear();
  }

  /** Records the crash of a target; ignored if the target cannot have run the request. */
  recordCrash(target: FleetTarget, evidence: CrashEvidence): void {
    if (!this.#formerTargets.has(target.id)) return;
    this.#formerTargets.set(target.id, { target, state: { kind: 'ended', evidence } });
  }

  /**
   * Records the outcome of a dispatch.
   *
   * @param target The target as it is announced at the end of the dispatch.
   * @param outcome How the dispatch ended.
   * @param wasSent Whether any part of the request may have reached the target.
   */
  record(target: FleetTarget, outcome: AttemptOutcome, wasSent: boolean): void {
    // The target knows nothing of a request that found no path to it.
    if (outcome.kind === 'no-path' && !outcome.wasSent) return;
    const mayHaveRun = wasSent && outcome.kind !== 'declined';
    if (mayHaveRun) this.#runTargetIds.push(target.id);
    if (outcome.kind === 'stalled') this.#stallCount += 1;
    if (outcome.kind === 'declined' && outcome.reason === 'full') {
      this.#fullTargetIds.add(target.id);
    }
    const previous = this.#formerTargets.get(target.id);
    if (!mayHaveRun && !previous) {
      this.#excludedTargetIds.add(target.id);
      return;
    }
    this.#formerTargets.delete(target.id);
    this.#formerTargets.set(target.id, {
      target,
      state: computeStateAfter(previous, target, outcome),
    });
  }
}
