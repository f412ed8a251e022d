import type { Logger, Metrics } from '@limpetnotch/observability';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetExchange } from '../targets/targetExchange';
import { chooseForwarder } from './chooseForwarder';
import type { Forwarder, ForwarderEnd } from './forwardedExchange';
import { ForwardedExchange } from './forwardedExchange';
import type { ForwardedRequest } from './forwardedRequest';
import type { ForwardingPeers } from './forwardingPeers';

/** Time for which an instance is avoided that has declined: it may be full, draining or cut off. */
const DECLINED_MILLISECONDS = 500;

/** Time for which an instance is avoided that was lost during an exchange. */
const LOST_MILLISECONDS = 2_000;

/** Options of one exchange through other instances. */
export interface ForwardingOptions {
  /** Called for each instance that is tried, as the remaining time differs. */
  readonly createRequest: () => ForwardedRequest;
  /** Whether the request may be sent to an instance in an availability zone. */
  readonly mayPassThrough: (availabilityZone: string | undefined) => boolean;
  /** Called with the name of each instance that is tried. */
  readonly onForwarder: (name: string) => void;
}

/** Dependencies of a {@link Forwarding}. */
export interface ForwardingParts {
  readonly peers: ForwardingPeers;
  readonly availabilityZone: string;
  /** Returns the availability zone of another instance; undefined if it announces none. */
  readonly availabilityZoneOf: (name: string) => string | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Sends requests to targets through other instances. */
export class Forwarding {
  readonly #parts: ForwardingParts;

  readonly #underWay = new Map<string, number>();

  readonly #avoidedUntil = new Map<string, number>();

  constructor(parts: ForwardingParts) {
    this.#parts = parts;
  }

  /** Whether there are other instances at all. */
  get hasPeers(): boolean {
    return this.#parts.peers.names.length > 0;
  }

  /** Whether an instance is likely to accept a request now. */
  get isAvailable(): boolean {
    return this.#parts.peers.names.some((name) => !this.#isAvoided(name));
  }

  /** Sends a request through another instance. */
  send(
    target: FleetTarget,
    { createRequest, mayPassThrough, onForwarder }: ForwardingOptions,
  ): TargetExchange {
    const tried = new Set<string>();
    return ForwardedExchange.start(() => {
      const name = this.#choose(target, tried, mayPassThrough);
      if (name === undefined) return undefined;
      tried.add(name);
      onForwarder(name);
      return this.#createForwarder(name, createRequest());
    });
  }

  #choose(
    { availabilityZone }: FleetTarget,
    tried: ReadonlySet<string>,
    mayPassThrough: ForwardingOptions['mayPassThrough'],
  ): string | undefined {
    const candidates = this.#parts.peers.names
      .filter((name) => !tried.has(name))
      .filter((name) => mayPassThrough(this.#parts.availabilityZoneOf(name)))
      .map((name) => ({
        name,
        availabilityZone: this.#parts.availabilityZoneOf(name),
        underWay: this.#underWay.get(name) ?? 0,
        isAvoided: this.#isAvoided(name),
      }));
    return chooseForwarder(candidates, {
      ownAvailabilityZone: this.#parts.availabilityZone,
      targetAvailabilityZone: availabilityZone,
    })?.name;
  }

  #createForwarder(name: string, request: ForwardedRequest): Forwarder {
    const { peers, metrics } = this.#parts;
    this.#underWay.set(name, (this.#underWay.get(name) ?? 0) + 1);
    return {
      name,
      open: (signal) => peers.forward(name, request, signal),
      close: (end) => {
        metrics.increment('forwarding.exchanges', 1, { forwarder: name, end });
        this.#recordEnd(name, end, request);
      },
    };
  }

  #recordEnd(name: string, end: ForwarderEnd, { envelope, target }: ForwardedRequest): void {
    const left = (this.#underWay.get(name) ?? 1) - 1;
    if (left > 0) this.#underWay.set(name, left);
    else this.#underWay.delete(name);
    if (end === 'used' || end === 'target-unavailable') return;
    const avoidedMilliseconds = end === 'lost' ? LOST_MILLISECONDS : DECLINED_MILLISECONDS;
    this.#avoidedUntil.set(name, performance.now() + avoidedMilliseconds);
    this.#parts.logger.info('forwarding.avoided', {
      request: envelope.id,
      target: target.id,
      forwarder: name,
      reason: end,
      avoidedMilliseconds,
    });
  }

  #isAvoided(name: string): boolean {
    const until = this.#avoidedUntil.get(name);
    if (until === undefined) return false;
    if (performance.now() < until) return true;
    this.#avoidedUntil.delete(name);
    return false;
  }
}
