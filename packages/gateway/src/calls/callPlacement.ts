import type { Metrics } from '@limpetnotch/observability';
import {
  drawZone,
  estimateEngineMilliseconds,
  filterTargetsByTrials,
  interpretLoads,
  placeRequest,
} from '@limpetnotch/scheduling';
import type {
  CapacityEstimate,
  PlacementWork,
  PrefixDirectory,
  TargetCapacities,
  TargetSpeeds,
} from '@limpetnotch/scheduling';
import type { LimitedDispatch } from '../limits/limitedDispatch';
import type { TrialRuns } from '../quarantine/trialRuns';
import type { FleetTarget } from '../targets/fleetTarget';
import { getIncarnationKey } from '../targets/getIncarnationKey';
import type { TargetLoads } from '../targets/targetLoads';
import type { AttemptOutcome } from './attemptOutcome';
import type { Call } from './call';

/** Duration of a turn that is assumed until one was measured. */
const DEFAULT_TURN_MILLISECONDS = 200;

/** Age at which the list of the instances' zones is read again. */
const ZONES_LIFETIME_MILLISECONDS = 1_000;

/** Dependencies of a {@link CallPlacement}. */
export interface CallPlacementParts {
  readonly availabilityZone: string;
  readonly loads: TargetLoads;
  readonly speeds: TargetSpeeds;
  readonly capacities: TargetCapacities;
  readonly prefixes: PrefixDirectory;
  readonly limitedDispatch: Pick<LimitedDispatch, 'filterByRoom'>;
  readonly trials: TrialRuns;
  /** Availability zones of the instances that are present, including this one. */
  readonly instanceZones: () => readonly string[];
  readonly metrics: Metrics;
}

const toCapacityKey = (target: FleetTarget) => ({
  incarnation: getIncarnationKey(target),
  slots: target.slots,
});

/** Chooses targets by the time to finish there, and learns from their answers. */
export class CallPlacement {
  readonly #parts: CallPlacementParts;

  #instanceZones: readonly string[] = [];

  #zonesReadAtMilliseconds = -Infinity;

  constructor(parts: CallPlacementParts) {
    this.#parts = parts;
  }

  /** Returns the id of the chosen target, and notes the reason at the call. */
  place(call: Call, candidates: readonly FleetTarget[], isOnTrial: boolean): string | undefined {
    const work = this.#toWork(call);
    const eligible = this.#filter(call, candidates, isOnTrial);
    const estimates = eligible.map((target) => this.#estimate(target));
    const { loads, concurrentRequests } = interpretLoads(
      eligible.map(({ id }, index) => ({
        capacity: estimates[index]?.capacity ?? 1,
        view: this.#parts.loads.getView(id),
      })),
      this.#getUsualMilliseconds(call),
    );
    const parts = call.envelope.prompt?.parts ?? [];
    const placed = eligible.map((target, index) => ({
      id: target.id,
      availabilityZone: target.availabilityZone,
      slots: target.slots,
      capacity: estimates[index]?.capacity ?? target.slots,
      slowness: estimates[index]?.slowness ?? 1,
      estimatedLoad: loads[index] ?? 0,
      cachedTokens: this.#parts.prefixes.cachedTokens(target.id, parts),
    }));
    const placement = placeRequest(
      {
        availabilityZone: this.#drawZone(work, placed),
        concurrentRequests,
        ...(this.#zones.length > 1 && { random: Math.random }),
        work,
      },
      placed,
    );
    const chosen = placed.find(({ id }) => id === placement?.targetId);
    if (!placement || !chosen) return undefined;
    this.#note(call, placement.reason, chosen);
    return chosen.id;
  }

  /** Records how an attempt ended that the target may have refused because it was full. */
  recordOutcome(target: FleetTarget, outcome: AttemptOutcome): void {
    if (outcome.kind !== 'declined' || outcome.reason !== 'full') return;
    const { own, others } = this.#parts.loads.getView(target.id);
    this.#parts.capacities.observeRefusal(toCapacityKey(target), own + others);
  }

  /** Records the speed at which a target served a call, and the prefixes that it now caches. */
  recordServed(call: Call, target: FleetTarget, milliseconds: number): void {
    const { prompt } = call.envelope;
    if (!prompt) {
      this.#observe(call, target, milliseconds);
      return;
    }
    // The time to the first event depends more on the queue and the prompt than on the target.
    const generating = call.ageMilliseconds - call.answeredAtMilliseconds;
    if (call.eventCount > 1) {
      this.#observe(call, target, (generating * call.eventCount) / (call.eventCount - 1));
    }
    const generated = call.eventCount * (call.service.engine?.tokensPerEvent ?? 0);
    this.#parts.prefixes.record(target.id, prompt.parts, generated);
  }

  #observe({ route }: Call, target: FleetTarget, milliseconds: number): void {
    const { capacities, loads, speeds } = this.#parts;
    const usualMilliseconds = speeds.usualMilliseconds(route.name) ?? milliseconds;
    const view = loads.getView(target.id);
    capacities.observeAnswer(toCapacityKey(target), { view, milliseconds, usualMilliseconds });
    speeds.observe(target.id, route.name, milliseconds);
  }

  #filter(
    call: Call,
    candidates: readonly FleetTarget[],
    isOnTrial: boolean,
  ): readonly FleetTarget[] {
    const { limitedDispatch, loads, trials } = this.#parts;
    const withRoom = limitedDispatch.filterByRoom(call, candidates, (target) =>
      this.#estimateEngineCost(call, target),
    );
    const candidatesById = new Map(withRoom.map((target) => [target.id, target]));
    return filterTargetsByTrials(
      withRoom.map(({ id }) => ({
        id,
        estimatedLoad: loads.estimateInFlight(id),
        trials: trials.countAt(id),
      })),
      isOnTrial,
    ).flatMap(({ id }) => candidatesById.get(id) ?? []);
  }

  #estimate(target: FleetTarget): CapacityEstimate {
    const { capacities, loads, speeds } = this.#parts;
    const report = loads.getView(target.id);
    return capacities.estimate(toCapacityKey(target), speeds.slowness(target.id), report);
  }

  /** Availability zones of the instances. */
  get #zones(): readonly string[] {
    const now = performance.now();
    if (now - this.#zonesReadAtMilliseconds > ZONES_LIFETIME_MILLISECONDS) {
      this.#zonesReadAtMilliseconds = now;
      this.#instanceZones = this.#parts.instanceZones();
    }
    return this.#instanceZones;
  }

  #drawZone(
    { kind }: PlacementWork,
    targets: readonly { readonly availabilityZone: string; readonly capacity: number }[],
  ): string {
    const { availabilityZone: ownZone } = this.#parts;
    if (kind === 'model') return ownZone;
    return drawZone({ ownZone, instanceZones: this.#zones, targets }, Math.random);
  }

  #note(
    call: Call,
    reason: string,
    { capacity, slowness }: { readonly capacity: number; readonly slowness: number },
  ): void {
    const { metrics } = this.#parts;
    const placed = call;
    placed.placement = `${reason} capacity=${capacity.toFixed(1)} slowness=${slowness.toFixed(2)}`;
    if (reason === 'object' || reason === 'object-spill') {
      metrics.increment('call.object-placements', 1, { placement: reason });
    }
    metrics.distribution('placement.capacity', capacity, { service: call.service.name });
    metrics.distribution('placement.slowness', slowness, { service: call.service.name });
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

  #getUsualMilliseconds({ route }: Call): number {
    return this.#parts.speeds.usualMilliseconds(route.name) ?? DEFAULT_TURN_MILLISECONDS;
  }

  #toWork(call: Call): PlacementWork {
    const { prompt, program, objectKey } = call.envelope;
    if (!call.route.hasSessionAffinity) return { kind: 'plain' };
    if (!prompt) return objectKey === undefined ? { kind: 'plain' } : { kind: 'object', objectKey };
    return {
      kind: 'model',
      affinityKey: program?.id ?? prompt.parts.at(-1)?.id,
      promptTokens: prompt.inputTokens,
      usualMilliseconds: this.#getUsualMilliseconds(call),
    };
  }
}
