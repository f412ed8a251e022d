import type { Logger, Metrics } from '@limpetnotch/observability';
import type { LimitedServiceLoad, TargetSpeeds } from '@limpetnotch/scheduling';
import { admitProgramStart, ReturnSchedule } from '@limpetnotch/scheduling';
import type { Call } from '../calls/call';
import { isMainLineTurn } from '../calls/isMainLineTurn';
import type { FleetState } from '../fleet/fleetState';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetLoads } from '../targets/targetLoads';
import { computeLongestWait } from './computeLongestWait';
import type { LimitGate } from './limitGate';
import { ProgramActivity } from './programActivity';
import { SmoothedValue } from './smoothedValue';

/** Share of the slots of a target without a limit at which its requests still take their usual time. */
const USABLE_SLOT_SHARE = 0.65;

/** Duration of a request that is assumed until one was measured. */
const DEFAULT_REQUEST_MILLISECONDS = 250;

/** Time over which this instance's share of the demand is averaged. */
const SHARE_AVERAGE_MILLISECONDS = 10_000;

/** Bounds of this instance's share of the demand, relative to an equal share. */
const LEAST_RELATIVE_SHARE = 0.5;
const HIGHEST_RELATIVE_SHARE = 2;

/** Rate at which refused programs may return at least. */
const LEAST_RETURNS_PER_SECOND = 0.5;

const MILLISECONDS_PER_SECOND = 1_000;

/** Whether a request may start its program. */
export type ProgramStartDecision =
  { readonly kind: 'admitted' } | { readonly kind: 'refused'; readonly retryAfterSeconds: number };

/** Dependencies of {@link ProgramStarts}. */
export interface ProgramStartsParts {
  readonly fleet: FleetState;
  readonly gate: Pick<LimitGate, 'isLimited' | 'getRequestsPerSecond'>;
  readonly loads: TargetLoads;
  readonly speeds: TargetSpeeds;
  readonly instanceCount: () => number;
  /** Whether any target names a limit. */
  readonly isAnyLimited: () => boolean;
  /** Whether a program is known to have started at this or another instance. */
  readonly hasStarted: (programKey: string) => boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Refuses programs at their first turn while the targets' limits can't take them as well. */
export class ProgramStarts {
  readonly #parts: ProgramStartsParts;

  readonly #activity = new ProgramActivity();

  readonly #returns = new ReturnSchedule();

  readonly #share = new SmoothedValue(SHARE_AVERAGE_MILLISECONDS);

  constructor(parts: ProgramStartsParts) {
    this.#parts = parts;
  }

  /** Decides on a request with this key of its program, and records it if it is admitted. */
  admit(call: Call, programKey: string): ProgramStartDecision {
    const isHeldUp = this.#parts.isAnyLimited();
    if (!isHeldUp) this.#recordShare(call);
    else if (isMainLineTurn(call.envelope) && !this.#isUnderWay(programKey)) {
      const services = this.#collectLimitedServices();
      const { activePrograms } = this.#activity;
      const priority = call.organisation?.priority ?? call.route.priority;
      if (!admitProgramStart({ activePrograms, priority, services })) {
        return this.#refuse(call, services);
      }
    }
    this.#activity.recordRequest(programKey, call.service.name, isHeldUp);
    return { kind: 'admitted' };
  }

  #isUnderWay(programKey: string): boolean {
    return this.#activity.isActive(programKey) || this.#parts.hasStarted(programKey);
  }

  /** Callers reach the instances unevenly, and limits don't change that. */
  #recordShare({ service }: Call): void {
    const { fleet, loads } = this.#parts;
    const ids = fleet.targets.getServing(service.name).map(({ id }) => id);
    const share = loads.computeOwnShare(ids);
    if (share !== undefined) this.#share.sample(share);
  }

  get #ownShare(): number {
    const equal = 1 / this.#parts.instanceCount();
    const share = this.#share.value ?? equal;
    return Math.min(equal * HIGHEST_RELATIVE_SHARE, Math.max(equal * LEAST_RELATIVE_SHARE, share));
  }

  #collectLimitedServices(): readonly LimitedServiceLoad[] {
    const { fleet, gate } = this.#parts;
    return (fleet.index?.configuration.services ?? []).flatMap(({ name }) => {
      const targets = fleet.targets
        .getServing(name)
        .filter(({ availabilityZone }) => !fleet.evacuations.has(availabilityZone));
      if (!targets.some((target) => gate.isLimited(target))) return [];
      const milliseconds = this.#getUsualMilliseconds(name);
      const rates = targets.map((target) => this.#getRequestsPerSecond(target, milliseconds));
      return [
        {
          requestsPerSecond: rates.reduce((sum, rate) => sum + rate, 0) * this.#ownShare,
          requestsPerProgramSecond: this.#activity.getRequestsPerProgramSecond(name),
        },
      ];
    });
  }

  #getRequestsPerSecond(target: FleetTarget, milliseconds: number): number {
    const limit = this.#parts.gate.getRequestsPerSecond(target);
    if (limit !== undefined) return limit;
    return (target.slots * USABLE_SLOT_SHARE * MILLISECONDS_PER_SECOND) / milliseconds;
  }

  /** Returns the longest usual duration of the routes to a service. */
  #getUsualMilliseconds(service: string): number {
    const { fleet, speeds } = this.#parts;
    const routes = fleet.index?.configuration.routes ?? [];
    const durations = routes
      .filter(({ destinations }) => destinations.some((one) => one.service === service))
      .flatMap(({ name }) => speeds.usualMilliseconds(name) ?? []);
    return durations.length === 0 ? DEFAULT_REQUEST_MILLISECONDS : Math.max(...durations);
  }

  #refuse(call: Call, services: readonly LimitedServiceLoad[]): ProgramStartDecision {
    const returnsPerSecond = services.map(
      ({ requestsPerSecond, requestsPerProgramSecond }) =>
        requestsPerSecond / Math.max(1, requestsPerProgramSecond),
    );
    const retryAfterMilliseconds = this.#returns.next({
      nowMilliseconds: performance.now(),
      requestsPerSecond: Math.max(LEAST_RETURNS_PER_SECOND, Math.min(...returnsPerSecond)),
      waitingRequests: 0,
      longestMilliseconds: computeLongestWait(call),
    });
    const retryAfterSeconds = retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
    this.#parts.metrics.increment('limits.refused-programs');
    this.#parts.logger.info('limits.program-refused', {
      request: call.envelope.id,
      program: call.envelope.program?.id,
      organisation: call.organisation?.name,
      activePrograms: this.#activity.activePrograms,
      perSecond: services.map((one) => one.requestsPerSecond.toFixed(1)).join(' '),
      perProgram: services.map((one) => one.requestsPerProgramSecond.toFixed(2)).join(' '),
      retryAfterSeconds,
    });
    return { kind: 'refused', retryAfterSeconds };
  }
}
