import type { Logger, Metrics } from '@limpetnotch/observability';
import type { FollowOptions, KeyValueStore } from '@limpetnotch/store';
import { followPrefix } from '@limpetnotch/store';
import type { ChildSpecification } from '@limpetnotch/supervision';
import { untilAborted } from '@limpetnotch/supervision';
import type { ChosenReaders, RankNames } from './decisions/chooseReaders';
import { chooseReaders } from './decisions/chooseReaders';
import { computeObservationLimits } from './decisions/computeObservationLimits';
import type { ObservationMode } from './decisions/decideMode';
import { decideMode, isSharing } from './decisions/decideMode';
import type { ObservingInstance } from './decisions/observingInstance';
import { orderReaders } from './decisions/orderReaders';
import { RelayTrust } from './decisions/relayTrust';
import { LoopClock } from './loopClock';
import { ObservedPrefix } from './observedPrefix';
import { RelayFollower } from './relayFollower';
import type { KnownPrefix, RelayMessage } from './relayMessage';
import type { RelaySource } from './relaySource';
import { StoreRelay } from './storeRelay';

/** Parts of a {@link SharedObservation}. */
export interface SharedObservationParts {
  readonly store: KeyValueStore;
  readonly instance: string;
  readonly availabilityZone: string;
  readonly source: RelaySource;
  readonly rank: RankNames;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** How a prefix is observed. */
export interface ObservationOptions extends Omit<FollowOptions, 'store' | 'knownRevision'> {
  /** Time within which a change must be in force after the store's response; none by default. */
  readonly boundMilliseconds?: number | undefined;
}

/** The instances that may observe the store together. */
export interface ObservingFleet {
  /** Number of instances, including absent members. */
  readonly size: number;
  /** Instances that are present, including this one. */
  readonly present: readonly ObservingInstance[];
}

/**
 * Follows prefixes of the store. In fleets of more than eight instances, chosen ones read the store
 * and relay its changes to the others, which read it themselves as soon as what they know may be too
 * old for the bounds.
 */
export class SharedObservation {
  readonly #parts: SharedObservationParts;

  readonly #prefixes = new Map<string, ObservedPrefix>();

  readonly #trust = new RelayTrust();

  readonly #clock = new LoopClock();

  readonly #relay: StoreRelay;

  readonly #follower: RelayFollower;

  #fleet: ObservingFleet = { size: 1, present: [] };

  #readers: ChosenReaders = new Map();

  #mode: ObservationMode = 'direct';

  #modeChanged = new AbortController();

  /** Whether this instance needed what others relay when it was last decided. */
  #hadNeed = false;

  #checkTimer: NodeJS.Timeout | undefined;

  constructor(parts: SharedObservationParts) {
    this.#parts = parts;
    this.#relay = new StoreRelay({
      prefixes: this.#prefixes,
      isReading: () => this.#isReading,
    });
    this.#follower = new RelayFollower({
      source: parts.source,
      prefixes: this.#prefixes,
      readers: (failedRounds) =>
        orderReaders(
          this.#readers,
          {
            instance: parts.instance,
            availabilityZone: parts.availabilityZone,
            failedRounds,
          },
          parts.rank,
        ),
      isNeeded: () => this.#needsRelay,
      onMessage: () => this.#update(),
      logger: parts.logger,
      metrics: parts.metrics,
    });
  }

  /** Follows the readers. */
  get task(): ChildSpecification {
    return {
      name: 'observation',
      restart: 'always',
      run: async ({ signal, ready }) => {
        ready();
        await this.#follower.run(signal);
        clearTimeout(this.#checkTimer);
        this.#clock.stop();
      },
    };
  }

  get mode(): ObservationMode {
    return this.#mode;
  }

  /** Sets the instances that may observe the store together. */
  setFleet(fleet: ObservingFleet): void {
    this.#fleet = fleet;
    this.#readers = chooseReaders(fleet.present, this.#parts.rank);
    this.#update();
    this.#follower.notify();
  }

  /** Follows a prefix until the signal aborts. */
  async follow(options: ObservationOptions): Promise<void> {
    const { prefix, listener, signal, silenceMilliseconds, boundMilliseconds } = options;
    const observed = new ObservedPrefix({
      listener,
      limits: computeObservationLimits(boundMilliseconds, silenceMilliseconds),
      arrivalMilliseconds: () => this.#clock.earliestArrivalMilliseconds,
      onStoreResponse: (hasChanged) => {
        this.#update();
        if (hasChanged) this.#relay.notifyChange();
        else this.#relay.notifyConfirmation();
      },
    });
    this.#prefixes.set(prefix, observed);
    while (!signal.aborted) {
      const modeChanged = this.#modeChanged.signal;
      if (this.#mode === 'follower') await untilAborted(AbortSignal.any([signal, modeChanged]));
      else await this.#read(options, observed, modeChanged);
    }
  }

  /** Relays what this instance reads to a follower, until it no longer reads it. */
  relay(
    known: readonly KnownPrefix[],
    signal: AbortSignal,
  ): AsyncGenerator<RelayMessage, void, undefined> {
    return this.#relay.relay(known, signal);
  }

  async #read(
    options: ObservationOptions,
    observed: ObservedPrefix,
    modeChanged: AbortSignal,
  ): Promise<void> {
    const reading = AbortSignal.any([options.signal, modeChanged]);
    await followPrefix({
      ...options,
      store: this.#parts.store,
      listener: observed.storeListener,
      signal: reading,
      silenceMilliseconds:
        this.#mode === 'direct' ? options.silenceMilliseconds : observed.limits.silenceMilliseconds,
      knownRevision: observed.view.revision,
    });
  }

  get #isChosen(): boolean {
    const { instance } = this.#parts;
    return [...this.#readers.values()].some((names) => names.includes(instance));
  }

  /** Whether this instance reads all prefixes itself, and the store responds. */
  get #isReading(): boolean {
    return (
      this.#mode !== 'follower' &&
      [...this.#prefixes.values()].every(({ isReadHere }) => isReadHere)
    );
  }

  /** Whether this instance follows others, or would if they were current. */
  get #needsRelay(): boolean {
    return isSharing(this.#fleet.size) && !(this.#isChosen && this.#isReading);
  }

  /** Decides how to observe the store, after anything has happened that may change it. */
  #update(): void {
    clearTimeout(this.#checkTimer);
    const now = performance.now();
    const evidence = [...this.#prefixes.values()].map((observed) => observed.evidence);
    const { isTrusted, nextCheckAtMilliseconds } = this.#trust.decide(now, evidence);
    if (isSharing(this.#fleet.size) && nextCheckAtMilliseconds !== undefined) {
      this.#checkTimer = setTimeout(() => this.#update(), nextCheckAtMilliseconds - now + 1);
      this.#checkTimer.unref();
    }
    const mode = decideMode({
      fleetSize: this.#fleet.size,
      isChosen: this.#isChosen,
      isRelayTrusted: isTrusted,
    });
    if (mode !== this.#mode) this.#setMode(mode);
    // A reader that has lost the store follows others, and stops when it has regained it.
    if (this.#needsRelay !== this.#hadNeed) this.#follower.notify();
    this.#hadNeed = this.#needsRelay;
  }

  #setMode(mode: ObservationMode): void {
    this.#mode = mode;
    if (mode === 'reader') this.#clock.start();
    else this.#clock.stop();
    if (mode === 'follower') this.#prefixes.forEach((observed) => observed.stopReading());
    this.#modeChanged.abort();
    this.#modeChanged = new AbortController();
    this.#relay.notifyChange();
    this.#follower.notify();
    const { size } = this.#fleet;
    this.#parts.logger.info('observation.mode', { mode, size, isChosen: this.#isChosen });
    this.#parts.metrics.increment('observation.modes', 1, { mode });
  }
}
