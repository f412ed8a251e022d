import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ObservationOptions, SharedObservation } from '@limpetnotch/observation';
import type { PrefixListener, StoreEntry } from '@limpetnotch/store';
import type { ChildSpecification } from '@limpetnotch/supervision';
import type { FleetConfiguration } from '../configuration/fleetConfiguration';
import type { GatewaySettings } from '../gatewaySettings';
import type { FleetTarget } from '../targets/fleetTarget';
import { EvacuationFollower } from './evacuationFollower';
import type { FleetCodec } from './fleetCodec';
import type { FleetState } from './fleetState';
import { WatchStatus } from './watchStatus';

/**
 * Watches report progress at least every 2.5 s; one without a message for longer is unresponsive.
 */
const WATCH_SILENCE_MILLISECONDS = 3_000;

/** Changes within this time are read together, as while many targets start. */
const WATCH_PAUSE_MILLISECONDS = 100;

/**
 * Targets whose announcements expired during an outage reappear about 2 s after the store recovers.
 */
const TARGET_GRACE_MILLISECONDS = 2_200;

/** No announcement can expire during a shorter loss of the store. */
const HARMLESS_LOSS_MILLISECONDS = 800;

/** Parts of a {@link FleetFollower}. */
export interface FleetFollowerParts {
  readonly observation: Pick<SharedObservation, 'follow'>;
  readonly bounds: Pick<GatewaySettings['bounds'], 'applyMilliseconds' | 'drainMilliseconds'>;
  readonly codec: FleetCodec;
  readonly state: FleetState;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly onConfiguration: (configuration: FleetConfiguration) => void;
  readonly onTargetsChanged: () => void;
  readonly onRetirement: (instance: string) => void;
  readonly onStoreLost: () => void;
  readonly onStoreRegained: () => void;
}

type FollowedPrefix = Pick<ObservationOptions, 'prefix' | 'listener' | 'boundMilliseconds'>;

/** Keeps the local view of the fleet up to date with the store. */
export class FleetFollower {
  readonly #parts: FleetFollowerParts;

  readonly #evacuations: EvacuationFollower;

  readonly #operatorWatchStatus: WatchStatus;

  readonly #targetWatchStatus: WatchStatus;

  /** Whether the targets were listed before, so that an unknown one has started since. */
  #hasListedTargets = false;

  constructor(parts: FleetFollowerParts) {
    this.#parts = parts;
    const { evacuations } = parts.state;
    this.#evacuations = new EvacuationFollower({ ...parts, evacuations });
    this.#operatorWatchStatus = new WatchStatus(parts.logger, parts.codec.operatorPrefix);
    this.#targetWatchStatus = new WatchStatus(parts.logger, parts.codec.targetPrefix);
  }

  /** A task for the entries of operators and one for the announcements of targets. */
  get tasks(): readonly ChildSpecification[] {
    const { codec, bounds } = this.#parts;
    return [
      this.#createTask('configuration', {
        prefix: codec.operatorPrefix,
        listener: this.#createOperatorListener(),
        boundMilliseconds: bounds.applyMilliseconds,
      }),
      this.#createTask('targets', {
        prefix: codec.targetPrefix,
        listener: this.#createTargetListener(),
        boundMilliseconds: bounds.drainMilliseconds,
      }),
    ];
  }

  #createTask(name: string, followed: FollowedPrefix): ChildSpecification {
    return {
      name,
      restart: 'always',
      run: async ({ signal, ready }) => {
        ready();
        await this.#parts.observation.follow({
          ...followed,
          signal,
          silenceMilliseconds: WATCH_SILENCE_MILLISECONDS,
          pauseMilliseconds: WATCH_PAUSE_MILLISECONDS,
        });
      },
    };
  }

  #createOperatorListener(): PrefixListener {
    const watchStatus = this.#operatorWatchStatus;
    const { state } = this.#parts;
    return {
      replaced: (entries) => {
        // Evacuations come first, so that the first configuration admits no request without them.
        this.#evacuations.replaced(entries);
        entries.forEach((entry) => this.#applyOperatorEntry(entry));
      },
      put: (entry) => {
        this.#evacuations.put(entry);
        this.#applyOperatorEntry(entry);
      },
      removed: (key) => this.#evacuations.removed(key),
      confirmed: () => {
        state.isConfigurationUnconfirmed = false;
        if (watchStatus.recordRecovery() > 0) this.#parts.onStoreRegained();
      },
      lost: (detail, lostMilliseconds) => {
        state.isConfigurationUnconfirmed = true;
        watchStatus.recordLoss(detail, lostMilliseconds);
        this.#parts.onStoreLost();
      },
    };
  }

  #createTargetListener(): PrefixListener {
    const { codec, state, logger, onTargetsChanged } = this.#parts;
    const watchStatus = this.#targetWatchStatus;
    const recordRecovery = (): void => {
      state.areTargetsUnconfirmed = false;
      const lostMilliseconds = watchStatus.recordRecovery();
      if (lostMilliseconds < HARMLESS_LOSS_MILLISECONDS) return;
      state.targets.startGracePeriod(TARGET_GRACE_MILLISECONDS);
    };
    return {
      replaced: (entries) => {
        recordRecovery();
        const targets = entries.flatMap((entry) => this.#readTarget(entry) ?? []);
        this.#hasListedTargets = true;
        state.targets.replaceAll(targets);
        state.versions.restart();
        logger.info('targets.listed', { targets: targets.length });
        onTargetsChanged();
      },
      put: (entry) => {
        recordRecovery();
        const target = this.#readTarget(entry);
        if (target) state.targets.put(target);
        else state.targets.remove(codec.targetIdOf(entry.key));
        logger.info('targets.changed', {
          target: codec.targetIdOf(entry.key),
          state: target?.state ?? 'unreadable',
          version: target?.version,
          revision: entry.revision,
        });
        onTargetsChanged();
      },
      removed: (key) => {
        recordRecovery();
        state.targets.remove(codec.targetIdOf(key));
        state.coldTargets.remove(codec.targetIdOf(key));
        logger.info('targets.removed', { target: codec.targetIdOf(key) });
        onTargetsChanged();
      },
      confirmed: (revision) => {
        recordRecovery();
        state.versions.confirm(revision);
        state.coldTargets.confirm();
      },
      lost: (detail, lostMilliseconds) => {
        state.areTargetsUnconfirmed = true;
        watchStatus.recordLoss(detail, lostMilliseconds);
      },
    };
  }

  /** Decodes an announcement, and notes before its target may be used whether it is cold. */
  #readTarget(entry: StoreEntry): FleetTarget | undefined {
    const target = this.#decodeTarget(entry);
    if (!target) return undefined;
    this.#parts.state.coldTargets.observe(target, entry.revision, !this.#hasListedTargets);
    return target;
  }

  #decodeTarget(entry: StoreEntry): FleetTarget | undefined {
    const decoded = this.#parts.codec.decodeTarget(entry);
    switch (decoded.kind) {
      case 'target':
        return decoded.target;
      case 'unreadable':
        this.#parts.logger.warn('targets.unreadable', { key: entry.key, detail: decoded.detail });
        return undefined;
    }
  }

  #applyOperatorEntry(entry: StoreEntry): void {
    const { codec, state, logger, onConfiguration, onRetirement } = this.#parts;
    const decoded = codec.decodeOperatorEntry(entry);
    switch (decoded.kind) {
      case 'configuration': {
        const { version } = decoded.configuration;
        const isNewer = state.apply(decoded.configuration);
        logger.info('configuration.read', { version, isNewer, revision: entry.revision });
        if (isNewer) onConfiguration(decoded.configuration);
        return;
      }
      case 'retirement':
        onRetirement(decoded.instance);
        return;
      case 'unreadable':
        logger.error('configuration.unreadable', { key: entry.key, detail: decoded.detail });
        break;
      case 'other':
        break;
    }
  }
}
