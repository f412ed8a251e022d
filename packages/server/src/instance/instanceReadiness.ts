import type { Readiness, ReadinessState } from '../http/readiness';

const CONFIRMATION_MILLISECONDS = 5_000;

/** Options of {@link InstanceReadiness}. */
export interface InstanceReadinessOptions {
  /** Time at which the store last confirmed the configuration, by `performance.now()`. */
  readonly lastConfirmedMilliseconds: () => number | undefined;
  /** Whether most peers sent a recent heartbeat and none has a later configuration. */
  readonly isConfirmedByMajority: () => boolean;
  /** Whether a configuration has been read. */
  readonly hasConfiguration: () => boolean;
}

/**
 * Decides whether the instance accepts calls. An instance that can neither confirm its
 * configuration with the store nor reach most of its peers may have missed a withdrawn key, so it
 * refuses calls. While the store is unavailable to all instances nothing can be published, so
 * heartbeats of the peers are sufficient.
 */
export class InstanceReadiness implements Readiness {
  readonly #options: InstanceReadinessOptions;

  #isDraining = false;

  #isStarted = false;

  constructor(options: InstanceReadinessOptions) {
    this.#options = options;
  }

  /** Records that all components have started. */
  markStarted(): void {
    this.#isStarted = true;
  }

  /** Records that the instance is shutting down. */
  markDraining(): void {
    this.#isDraining = true;
  }

  state(): ReadinessState {
    if (this.#isDraining) return { kind: 'not-ready', reason: 'draining' };
    if (!this.#isStarted || !this.#options.hasConfiguration()) {
      return { kind: 'not-ready', reason: 'starting' };
    }
    if (this.#isConfirmed() || this.#options.isConfirmedByMajority()) return { kind: 'ready' };
    return { kind: 'not-ready', reason: 'configuration-unconfirmed' };
  }

  #isConfirmed(): boolean {
    const confirmedAt = this.#options.lastConfirmedMilliseconds();
    return confirmedAt !== undefined && performance.now() - confirmedAt < CONFIRMATION_MILLISECONDS;
  }
}
