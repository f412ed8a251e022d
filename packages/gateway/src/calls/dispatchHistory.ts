import type { FleetTarget } from '../targets/fleetTarget';
import type { CrashEvidence } from '../targets/targetEnds';
import type { AttemptOutcome } from './attemptOutcome';

/** What is known of a target that may have run a request. */
export type FormerTargetState =
  /** It took the request, and nothing speaks against another connection. */
  | { readonly kind: 'reached' }
  /** It took the request and fell silent. */
  | { readonly kind: 'silent' }
  /** It took the request, may be at work still, and no connection to it could be opened later. */
  | { readonly kind: 'unreachable' }
  /** It took the request, and declined it later. */
  | { readonly kind: 'full' }
  | { readonly kind: 'ended'; readonly evidence: CrashEvidence };

/** A target that may have run a request. */
export interface FormerTarget {
  readonly target: FleetTarget;
  readonly state: FormerTargetState;
}

/**
 * A process that is gone takes its connections with it and then refuses new ones. One that only
 * closed its listener, as a leaving target does, refuses them too, and may be at work still.
 */
const stateAfterRefusal = (previous: FormerTarget, target: FleetTarget): FormerTargetState => {
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
      return { kind: 'unreachable' };
  }
};

const stateAfter = (
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
        ? stateAfterRefusal(previous, target)
        : { kind: 'unreachable' };
    case 'stalled':
      return { kind: 'silent' };
    case 'delivered':
    case 'broken':
    case 'caller-gone':
    case 'shutting-down':
    case 'timed-out':
      return { kind: 'reached' };
  }
};

/** Targets that may have run one request of a caller, and what is known of each. */
export class DispatchHistory {
  readonly #runs: string[] = [];

  readonly #formerTargets = new Map<string, FormerTarget>();

  readonly #passedOverIds = new Set<string>();

  #silences = 0;

  /** Dispatches after which the request may have run. */
  get runs(): number {
    return this.#runs.length;
  }

  /** Target of the last such dispatch. */
  get lastTargetId(): string | undefined {
    return this.#runs.at(-1);
  }

  /** Times that a target fell silent. */
  get silences(): number {
    return this.#silences;
  }

  /** Targets that did not take the request and have not run it. */
  get passedOverIds(): ReadonlySet<string> {
    return this.#passedOverIds;
  }

  /** Targets that may have run the request, in the order of their last dispatch. */
  get formerTargets(): readonly FormerTarget[] {
    return [...this.#formerTargets.values()];
  }

  /** Targets that may have run the request and are not known to have ended since. */
  get openTargets(): number {
    return this.formerTargets.filter(({ state }) => state.kind !== 'ended').length;
  }

  /** Takes the news that a target which may have run the request has crashed. */
  noteCrash(target: FleetTarget, evidence: CrashEvidence): void {
    if (!this.#formerTargets.has(target.id)) return;
    this.#formerTargets.set(target.id, { target, state: { kind: 'ended', evidence } });
  }

  /**
   * Takes the outcome of a dispatch to a target, as announced by then, with whether any of the
   * request may have reached it.
   */
  record(target: FleetTarget, outcome: AttemptOutcome, wasSent: boolean): void {
    const mayHaveRun = wasSent && outcome.kind !== 'declined';
    if (mayHaveRun) this.#runs.push(target.id);
    if (outcome.kind === 'stalled') this.#silences += 1;
    const previous = this.#formerTargets.get(target.id);
    if (!mayHaveRun && !previous) {
      this.#passedOverIds.add(target.id);
      return;
    }
    this.#formerTargets.delete(target.id);
    this.#formerTargets.set(target.id, { target, state: stateAfter(previous, target, outcome) });
  }
}
