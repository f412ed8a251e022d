import type { Logger, Metrics } from '@limpetnotch/observability';
import type { EligibilityRules } from '@limpetnotch/scheduling';
import {
  computeIneligibleRetry,
  decideEligibility,
  isRegionAllowed,
} from '@limpetnotch/scheduling';
import type { FleetState } from '../fleet/fleetState';
import type { GatewaySettings } from '../gatewaySettings';
import type { FleetTarget } from '../targets/fleetTarget';
import type { Call } from './call';

const MILLISECONDS_PER_SECOND = 1_000;

/** Dependencies of a {@link CallEligibility}. */
export interface CallEligibilityParts {
  readonly fleet: FleetState;
  readonly settings: Pick<GatewaySettings, 'regions' | 'bounds'>;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Applies evacuations and allowed regions, as they are in force now, to the dispatches of calls. */
export class CallEligibility {
  readonly #parts: CallEligibilityParts;

  readonly #regions: ReadonlyMap<string, string>;

  constructor(parts: CallEligibilityParts) {
    this.#parts = parts;
    this.#regions = new Map(Object.entries(parts.settings.regions));
  }

  /** Returns the targets that may get a call. */
  filter(call: Call, targets: readonly FleetTarget[]): readonly FleetTarget[] {
    return decideEligibility(targets, this.#getRules(call)).eligible;
  }

  isEligible(call: Call, target: FleetTarget): boolean {
    return this.filter(call, [target]).length > 0;
  }

  /** Whether the body of a call may be sent to another instance in an availability zone. */
  mayReceiveBody(call: Call, availabilityZone: string | undefined): boolean {
    return isRegionAllowed(this.#getRules(call), availabilityZone);
  }

  /**
   * Returns when a call may be repeated whose targets are all ineligible, in seconds; undefined if
   * it has an eligible target, even one that can't be used now.
   */
  explainRefusal(call: Call): number | undefined {
    const { fleet, settings, logger, metrics } = this.#parts;
    const announced = fleet.targets.all.filter(({ service }) => service === call.service.name);
    const { eligible, ineligible } = decideEligibility(announced, this.#getRules(call));
    if (eligible.length > 0 || ineligible.size === 0) return undefined;
    const reasons = [...ineligible.values()];
    const evacuated = reasons.filter(({ kind }) => kind === 'evacuated').length;
    const milliseconds = computeIneligibleRetry(reasons, settings.bounds);
    const retryAfterSeconds = milliseconds / MILLISECONDS_PER_SECOND;
    metrics.increment('eligibility.refused');
    logger.info('eligibility.refused', {
      request: call.envelope.id,
      route: call.route.name,
      organisation: call.organisation?.name,
      service: call.service.name,
      evacuatedTargets: evacuated,
      targetsOutsideRegions: reasons.length - evacuated,
      retryAfterSeconds,
    });
    return retryAfterSeconds;
  }

  #getRules({ route, organisation }: Call): EligibilityRules {
    const { index, evacuations } = this.#parts.fleet;
    // A call may wait for longer than a newer configuration takes to come into force.
    const restrictions = [
      index?.findRouteByName(route.name) ?? route,
      organisation && (index?.findOrganisationByName(organisation.name) ?? organisation),
    ];
    return {
      evacuatedZones: evacuations.zones,
      regions: this.#regions,
      allowedRegions: restrictions.flatMap((restriction) =>
        restriction?.allowedRegions?.length ? [restriction.allowedRegions] : [],
      ),
    };
  }
}
