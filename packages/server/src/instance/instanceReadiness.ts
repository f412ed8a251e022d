import type { Readiness, ReadinessState } from '../http/readiness';

const CONFIRMATION_MILLISECONDS = 5_000;

/** Options of {@link InstanceReadiness}. */
export interface InstanceReadinessOptions {
  /** When the store last confirmed the configuration, by `performance.now()`. */
  readonly lastConfirmedMilliseconds: () => number | undefined;
  /** Whether most peers were heard lately and none has a later configuration. */
  readonly hearsMajority: () => boolean;
  /** Whether a configuration was ever read. */
  readonly hasConfiguration: () => boolean;
}

/**
 * Tells whether calls may come here. An instance that can neither confirm its configuration with the
 * store nor hear most of its peers may have missed a withdrawn key, and refuses. While the store is
 * out for all, nothing can be published, so hearing the peers is enough.
 */
export class InstanceReadiness implements Readiness {
  readonly #options: InstanceReadinessOptions;

  #draining = false;

  #started = false;

  constructor(options: InstanceReadinessOptions) {
    this.#options = options;
  }

  /** Notes that all parts have started. */
  markStarted(): void {
    this.#started = true;
  }

  /** Notes that the instance shuts down. */
  markDraining(): void {
    this.#draining = true;
  }

  state(): ReadinessState {
    if (this.#draining) return { kind: 'not-ready', reason: 'draining' };
    if (!this.#started || !this.#options.hasConfiguration()) {
      return { kind: 'not-ready', reason: 'starting' };
    }
    if (this.#isConfirmed() || this.#options.hearsMajority()) return { kind: 'ready' };
    return { kind: 'not-ready', reason: 'configuration-unconfirmed' };
  }

  #isConfirmed(): boolean {
    const confirmedAt = this.#options.lastConfirmedMilliseconds();
    return confirmedAt !== undefined && performance.now() - confirmedAt < CONFIRMATION_MILLISECONDS;
  }
}
