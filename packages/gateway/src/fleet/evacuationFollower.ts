import type { Logger, Metrics } from '@limpetnotch/observability';
import type { StoreEntry } from '@limpetnotch/store';
import type { Evacuations } from './evacuations';
import type { FleetCodec } from './fleetCodec';

/** Parts of an {@link EvacuationFollower}. */
export interface EvacuationFollowerParts {
  readonly codec: Pick<FleetCodec, 'decodeEvacuatedZone'>;
  readonly evacuations: Evacuations;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Applies the entries of operators that evacuate availability zones. The key alone evacuates,
 * whatever its value is, and lasts until it is removed; a loss of the store changes nothing.
 */
export class EvacuationFollower {
  readonly #parts: EvacuationFollowerParts;

  constructor(parts: EvacuationFollowerParts) {
    this.#parts = parts;
  }

  /** Applies a complete listing: evacuations whose key is absent have ended. */
  replaced(entries: readonly StoreEntry[]): void {
    const { codec, evacuations } = this.#parts;
    const listed = entries.flatMap(({ key }) => codec.decodeEvacuatedZone(key) ?? []);
    this.#change(() => evacuations.replaceAll(listed));
  }

  put({ key }: StoreEntry): void {
    const zone = this.#parts.codec.decodeEvacuatedZone(key);
    if (zone !== undefined) this.#change(() => this.#parts.evacuations.start(zone));
  }

  removed(key: string): void {
    const zone = this.#parts.codec.decodeEvacuatedZone(key);
    if (zone !== undefined) this.#change(() => this.#parts.evacuations.end(zone));
  }

  /** Applies a change, then logs and counts what started and ended by it. */
  #change(apply: () => void): void {
    const { evacuations, logger, metrics } = this.#parts;
    const before = evacuations.zones;
    apply();
    const after = evacuations.zones;
    const started = [...after].filter((zone) => !before.has(zone));
    const ended = [...before].filter((zone) => !after.has(zone));
    started.forEach((availabilityZone) => {
      metrics.increment('evacuations.changes', 1, { change: 'started' });
      logger.info('evacuations.started', { availabilityZone });
    });
    ended.forEach((availabilityZone) => {
      metrics.increment('evacuations.changes', 1, { change: 'ended' });
      logger.info('evacuations.ended', { availabilityZone });
    });
    if (started.length + ended.length > 0) metrics.gauge('evacuations.zones', after.size);
  }
}
