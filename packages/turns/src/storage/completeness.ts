import type { Logger } from '@limpetnotch/observability';
import type { TurnLog } from '@limpetnotch/turn-log';
import type { CompletenessMarker } from './completenessMarker';

/** Time after which a loss no longer matters, as all turns that were lost have expired. */
const FORGET_MILLISECONDS = 180_000;

/** Options of a {@link Completeness}. */
export interface CompletenessOptions {
  readonly marker: CompletenessMarker;
  readonly logger: Logger;
  /** Whether the complete system starts for the first time, so that no turns exist. */
  readonly isFirstStart: boolean;
}

/**
 * Knows whether this instance holds every turn that it should hold. A marker on the disk shows that
 * the log is complete; without it, the log of a former member has lost turns until a repair.
 */
export class Completeness {
  readonly #options: CompletenessOptions;

  /** `undefined` until it is known whether this instance was a member before. */
  #hasLost: boolean | undefined;

  #hasRepaired = false;

  #startedWithMarker = false;

  #lostAt = performance.now();

  #losses = 0;

  /** Changes of the marker, one after the other. */
  #markerWrites = Promise.resolve();

  constructor(options: CompletenessOptions) {
    this.#options = options;
  }

  /** Whether turns that this instance acknowledged may be missing here. */
  get hasLost(): boolean {
    return this.#hasLost ?? true;
  }

  /** Number of losses that were recorded. */
  get losses(): number {
    return this.#losses;
  }

  /** Whether this instance holds every turn that it should hold, as far as it knows the instances. */
  get isComplete(): boolean {
    return !this.hasLost && this.#hasRepaired;
  }

  /** Whether this instance was a member with a complete log before it started. */
  get startedWithMarker(): boolean {
    return this.#startedWithMarker;
  }

  /** Reads the marker for a log that was opened. */
  async start(log: TurnLog): Promise<void> {
    const { marker, isFirstStart } = this.#options;
    this.#startedWithMarker = await marker.exists();
    if (log.hasLostRecords) {
      this.recordDamage();
    } else if (this.#startedWithMarker || isFirstStart) {
      this.#hasLost = false;
      this.#hasRepaired = true;
      if (!this.#startedWithMarker) this.#changeMarker('write');
    }
    await this.#markerWrites;
  }

  /** Records whether this instance was a member before it registered. */
  recordRegistration(wasMember: boolean): void {
    if (this.#hasLost !== undefined) return;
    this.#hasLost = wasMember;
    if (wasMember) this.#losses += 1;
    this.#options.logger.info('storage.registered-without-marker', { wasMember });
  }

  /** Records that turns could not be read. */
  recordDamage(): void {
    this.#losses += 1;
    if (this.#hasLost !== true) this.#lostAt = performance.now();
    this.#hasLost = true;
    this.#hasRepaired = false;
    this.#options.logger.error('storage.turns-lost', {});
    this.#changeMarker('remove');
  }

  /** Records that a repair ended; it finds all lost turns only if it was conclusive. */
  recordRepair(isConclusive: boolean): void {
    if (this.isComplete || this.#hasLost === undefined) return;
    const isForgotten = performance.now() - this.#lostAt > FORGET_MILLISECONDS;
    if (this.#hasLost && !isConclusive && !isForgotten) return;
    this.#hasLost = false;
    this.#hasRepaired = true;
    this.#options.logger.info('storage.complete', { isConclusive });
    this.#changeMarker('write');
  }

  /**
   * Removes the marker of an instance that is empty and to be removed, so that it accepts no turns
   * after a restart before it has read from the store that it is leaving.
   */
  async retire(): Promise<void> {
    if (this.#startedWithMarker || this.isComplete) this.#changeMarker('remove');
    this.#startedWithMarker = false;
    await this.#markerWrites;
  }

  /** Without the marker a restart assumes a loss, so that a failure to write it is only logged. */
  #changeMarker(change: 'write' | 'remove'): void {
    const { marker, logger } = this.#options;
    this.#markerWrites = this.#markerWrites
      .then(() => marker[change]())
      .catch((error: unknown) => {
        const detail = error instanceof Error ? error.message : String(error);
        logger.warn('storage.marker-failed', { change, detail });
      });
  }
}
