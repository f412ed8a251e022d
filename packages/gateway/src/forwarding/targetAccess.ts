import type { AttemptOutcome } from '../calls/attemptOutcome';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetExchange } from '../targets/targetExchange';
import type { Forwarding, ForwardingOptions } from './forwarding';
import type { PathChecker } from './pathChecker';
import type { TargetPaths } from './targetPaths';

/** Dependencies of a {@link TargetAccess}. */
export interface TargetAccessParts {
  readonly paths: Pick<TargetPaths, 'isCut' | 'isSilent' | 'recordReached'>;
  readonly checker: Pick<PathChecker, 'explainFailure'>;
  readonly forwarding: Forwarding;
}

/** How requests get to targets: over connections of this instance or through another one. */
export class TargetAccess {
  readonly #parts: TargetAccessParts;

  constructor(parts: TargetAccessParts) {
    this.#parts = parts;
  }

  /** Whether requests to a target go through another instance. */
  isForwarded(target: FleetTarget): boolean {
    return this.#parts.paths.isCut(target) && this.#parts.forwarding.hasPeers;
  }

  /** Whether open connections to a target have been lost without an error, and others may help. */
  isLost(target: FleetTarget): boolean {
    return this.#parts.paths.isSilent(target) && this.#parts.forwarding.isAvailable;
  }

  /** Whether there is no way to a target until its path is restored. */
  isUnreachable(target: FleetTarget): boolean {
    return this.isForwarded(target) && !this.#parts.forwarding.isAvailable;
  }

  /** Sends a request through another instance. */
  forward(target: FleetTarget, options: ForwardingOptions): TargetExchange {
    return this.#parts.forwarding.send(target, options);
  }

  /** Records that a target answered on an open connection. */
  recordAnswer(target: FleetTarget): void {
    if (this.#parts.paths.isSilent(target)) this.#parts.paths.recordReached(target);
  }

  /** Returns the outcome of a direct attempt, which doesn't blame the target for a lost path. */
  async explain(target: FleetTarget, outcome: AttemptOutcome): Promise<AttemptOutcome> {
    if (outcome.kind !== 'not-sent' || !outcome.hasConnectionFailed) return outcome;
    if (!this.#parts.forwarding.hasPeers) return outcome;
    const verdict = await this.#parts.checker.explainFailure(target, outcome.isRefused);
    switch (verdict) {
      case 'cut':
        return { kind: 'no-path', detail: outcome.detail, wasSent: false };
      case 'target-refuses':
        return outcome;
      case 'unknown':
        return { ...outcome, isRefused: false };
    }
  }
}
