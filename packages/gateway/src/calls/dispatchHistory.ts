import type { FleetTarget } from '../targets/fleetTarget';
import type { AttemptOutcome } from './attemptOutcome';

/** How an instance learns for certain that a target has ended. */
export type EndEvidence = 'connection-refused' | 'answered-as-another';

/** A target to which a request was sent and that may have run it. */
export interface FormerTarget {
  readonly target: FleetTarget;
  /** How it is known that the target has ended; undefined where that is not known. */
  readonly endEvidence: EndEvidence | undefined;
}

/** Returns the evidence of an attempt that its target has ended. */
const endEvidenceOf = (outcome: AttemptOutcome): EndEvidence | undefined => {
  switch (outcome.kind) {
    case 'declined':
      return outcome.reason === 'misdirected' ? 'answered-as-another' : undefined;
    case 'not-sent':
      return outcome.isRefused ? 'connection-refused' : undefined;
    case 'delivered':
    case 'broken':
    case 'stalled':
    case 'caller-gone':
    case 'shutting-down':
    case 'timed-out':
      return undefined;
  }
};

/** Targets that may have run one request of a caller, and what is known of each. */
export class DispatchHistory {
  readonly #runs: string[] = [];

  readonly #formerTargets = new Map<string, FormerTarget>();

  /** Dispatches after which the request may have run. */
  get runs(): number {
    return this.#runs.length;
  }

  /** Target of the last such dispatch. */
  get lastTargetId(): string | undefined {
    return this.#runs.at(-1);
  }

  /** Targets that may have run the request, in the order in which it was sent to them. */
  get formerTargets(): readonly FormerTarget[] {
    return [...this.#formerTargets.values()];
  }

  /** Targets that may have run the request and are not known to have ended since. */
  get openTargets(): number {
    return this.formerTargets.filter(({ endEvidence }) => endEvidence === undefined).length;
  }

  /** Takes the outcome of a dispatch, with whether any of the request may have reached the target. */
  record(target: FleetTarget, outcome: AttemptOutcome, wasSent: boolean): void {
    const known = this.#formerTargets.get(target.id);
    const mayHaveRun = wasSent && outcome.kind !== 'declined';
    if (mayHaveRun) this.#runs.push(target.id);
    if (!known && !mayHaveRun) return;
    const endEvidence = endEvidenceOf(outcome);
    this.#formerTargets.set(target.id, { target, endEvidence });
  }
}
