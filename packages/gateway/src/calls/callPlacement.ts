import type { Metrics } from '@limpetnotch/observability';
import type { PlacementWork, PrefixDirectory, TargetSpeeds } from '@limpetnotch/scheduling';
import {
  estimateEngineMilliseconds,
  filterTargetsByTrials,
  placeRequest,
} from '@limpetnotch/scheduling';
import type { FleetState } from '../fleet/fleetState';
import type { LimitedDispatch } from '../limits/limitedDispatch';
import type { TrialRuns } from '../quarantine/trialRuns';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetLoads } from '../targets/targetLoads';
import type { Call } from './call';
import type { TargetChoice } from './targetChoice';

/** Duration of a turn that is assumed until one was measured. */
const DEFAULT_TURN_MILLISECONDS = 200;

/** Dependencies of a {@link CallPlacement}. */
export interface CallPlacementParts {
  readonly fleet: FleetState;
  readonly availabilityZone: string;
  readonly limitedDispatch: LimitedDispatch;
  readonly loads: TargetLoads;
  readonly prefixes: PrefixDirectory;
  readonly speeds: TargetSpeeds;
  readonly metrics: Metrics;
  readonly trials: TrialRuns;
  /** Whether a call is kept apart from others because it may crash its target. */
  readonly isOnTrial: (call: Call) => boolean;
  /** Returns the number of instances that share the connections of a target. */
  readonly instanceCount: () => number;
}

/** Places calls: chooses among the targets that may run them by load, speed and affinity. */
export class CallPlacement {
  readonly #parts: CallPlacementParts;

  constructor(parts: CallPlacementParts) {
    this.#parts = parts;
  }

  /** Chooses the target of a call among its candidates. */
  place(call: Call, candidates: readonly FleetTarget[]): TargetChoice {
    const { fleet, availabilityZone, limitedDispatch, loads, speeds, prefixes } = this.#parts;
    const parts = call.envelope.prompt?.parts ?? [];
    const placement = placeRequest(
      { availabilityZone, work: this.#toPlacementWork(call) },
      filterTargetsByTrials(
        limitedDispatch
          .filterByRoom(call, candidates, (target) => this.#estimateEngineCost(call, target))
          .map((target) => ({
            ...target,
            estimatedLoad: loads.estimateInFlight(target.id),
            trials: this.#parts.trials.countAt(target.id),
          })),
        this.#parts.isOnTrial(call),
      ).map((target) => ({
        id: target.id,
        availabilityZone: target.availabilityZone,
        slots: target.slots,
        estimatedLoad: target.estimatedLoad,
        slowness: speeds.slowness(target.id),
        cachedTokens: prefixes.cachedTokens(target.id, parts),
      })),
    );
    const target = placement && fleet.targets.get(placement.targetId);
    if (!target) return { kind: 'none', reason: 'no-target' };
    const placed = call;
    placed.placement = placement.reason;
    placed.target = target.id;
    if (placement.reason === 'object' || placement.reason === 'object-spill') {
      const tags = { placement: placement.reason };
      this.#parts.metrics.increment('call.object-placements', 1, tags);
    }
    const share = call.service.connectionLimit / Math.max(2, this.#parts.instanceCount());
    const connectionLimit = Math.max(1, Math.floor(share));
    return {
      kind: 'target',
      target,
      candidates,
      isRepeat: false,
      connection: { kind: 'shared', connectionLimit },
      pauseMilliseconds: 0,
    };
  }

  /** Estimates the time for which a call occupies a model engine, in milliseconds. */
  #estimateEngineCost({ envelope: { prompt } }: Call, { id, slots }: FleetTarget): number {
    if (!prompt) return 0;
    const uncachedTokens = prompt.inputTokens - this.#parts.prefixes.cachedTokens(id, prompt.parts);
    return estimateEngineMilliseconds({
      uncachedTokens,
      outputTokens: prompt.expectedOutputTokens ?? prompt.maximumOutputTokens,
      slots,
    });
  }

  #toPlacementWork({ envelope, route }: Call): PlacementWork {
    const { prompt, program, objectKey } = envelope;
    if (!route.hasSessionAffinity) return { kind: 'plain' };
    if (!prompt) return objectKey === undefined ? { kind: 'plain' } : { kind: 'object', objectKey };
    return {
      kind: 'model',
      affinityKey: program?.id ?? prompt.parts.at(-1)?.id,
      promptTokens: prompt.inputTokens,
      usualMilliseconds:
        this.#parts.speeds.usualMilliseconds(route.name) ?? DEFAULT_TURN_MILLISECONDS,
    };
  }
}
