import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ColdBounds } from '@limpetnotch/scheduling';
import type { FleetState } from '../fleet/fleetState';
import { getIncarnationKey } from '../targets/getIncarnationKey';
import { LimitGate } from './limitGate';
import type { LimitMembership, LimitPeers } from './limitPeers';
import { LimitSharing } from './limitSharing';
import { LimitsInForce } from './limitsInForce';
import { TargetLimits } from './targetLimits';

/** Dependencies of {@link FleetLimits}. */
export interface FleetLimitsParts {
  readonly fleet: FleetState;
  readonly bounds: ColdBounds;
  readonly peers: LimitPeers;
  readonly membership: LimitMembership;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The limits of targets at one instance: what is known, what may be sent, and what others know. */
export class FleetLimits {
  /** Limits that targets name in their responses. */
  readonly named: TargetLimits;

  readonly gate: LimitGate;

  readonly sharing: LimitSharing;

  readonly #fleet: FleetState;

  constructor({ fleet, peers, membership, ...parts }: FleetLimitsParts) {
    this.#fleet = fleet;
    this.named = new TargetLimits(parts);
    const { coldTargets, targets } = fleet;
    const limits = new LimitsInForce({ ...parts, named: this.named, coldTargets, targets });
    this.gate = new LimitGate({ limits, peers, membership });
    this.sharing = new LimitSharing({ limits, peers, membership, gate: this.gate });
  }

  /** The limits that targets name. A cold target is additional capacity, and holds up no program. */
  get namedGate(): Pick<LimitGate, 'isLimited' | 'getRequestsPerSecond'> {
    return {
      isLimited: (target) => this.gate.isReduced(target),
      getRequestsPerSecond: (target) => this.gate.getRequestsPerSecond(target),
    };
  }

  /** Forgets targets that are no longer announced. */
  retainAnnounced(): void {
    const { targets, coldTargets } = this.#fleet;
    const { all } = targets;
    const keys = new Set(
      all.flatMap((target) => [getIncarnationKey(target), LimitsInForce.toColdKey(target.id)]),
    );
    const isKnown = (key: string): boolean => keys.has(key);
    this.named.retain(isKnown);
    this.gate.retain(isKnown);
    this.sharing.retain(isKnown);
    coldTargets.retain((id) => targets.get(id) !== undefined);
  }
}
