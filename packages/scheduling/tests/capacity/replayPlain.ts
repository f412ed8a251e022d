import { SeededRandom } from '@limpetnotch/stand-ins';
import { drawZone } from '../../src/capacity/drawZone';
import { interpretLoads } from '../../src/capacity/interpretLoads';
import { placePlainRequest } from '../../src/capacity/placePlainRequest';
import { TargetCapacities } from '../../src/capacity/targetCapacities';
import type { TargetLoadView } from '../../src/capacity/targetLoadView';
import { TargetSpeeds } from '../../src/carried/targetSpeeds';

/** A target of the replay: requests share its speed once more than `knee` of them run. */
export interface ReplayTarget {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly knee: number;
  /** Time from which the target exists. */
  readonly fromMilliseconds?: number;
  /** Factor on the duration of work at a time. */
  readonly slowdownAt?: (milliseconds: number) => number;
  /** Figure in the load report at a time; undefined if it reports none. */
  readonly reportedPercentAt?: (milliseconds: number) => number;
  /** Targets with the same machine share its knee. */
  readonly machine?: string;
}

/** How the instances place requests. */
export type ReplayPolicy = 'former' | 'capacity';

export interface ReplayOptions {
  readonly seed: number;
  /** Availability zone of each instance. */
  readonly instanceZones: readonly string[];
  readonly targets: readonly ReplayTarget[];
  readonly requestsPerSecond: number;
  readonly workMilliseconds: number;
  readonly durationMilliseconds: number;
  readonly policy: ReplayPolicy;
}

/** Result of a replay; counts are of requests that began after the first second. */
export interface ReplayResult {
  readonly served: ReadonlyMap<string, number>;
  readonly refused: number;
  readonly meanMilliseconds: number;
  readonly p99Milliseconds: number;
  /** Requests that the busiest target got, relative to the mean. */
  readonly busiestShare: number;
  /** Requests under way at the target that is busiest at a moment, relative to the mean. */
  readonly momentaryShare: number;
  readonly servedBetween: (id: string, from: number, to: number) => number;
}

interface RunningRequest {
  readonly instance: number;
  readonly startedAt: number;
  remaining: number;
}

interface View {
  own: number;
  others: number;
  reportedAt: number;
  percent: number | undefined;
}

const FORMER_REPORT_LIFETIME_MILLISECONDS = 400;
const FORMER_ZONE_MARGIN = 0.15;
const WARM_UP_MILLISECONDS = 1_000;
const MAXIMUM_DISPATCHES = 6;
const KIND = 'plain';

interface Candidate {
  readonly target: ReplayTarget;
  readonly view: View;
}

/** One instance: what it knows, and its placement. */
class ReplayInstance {
  readonly zone: string;

  readonly views = new Map<string, View>();

  readonly speeds = new TargetSpeeds();

  readonly capacities = new TargetCapacities();

  readonly #options: ReplayOptions;

  readonly #random: SeededRandom;

  constructor(zone: string, options: ReplayOptions, random: SeededRandom) {
    this.zone = zone;
    this.#options = options;
    this.#random = random;
  }

  viewOf(id: string): View {
    const view = this.views.get(id) ?? {
      own: 0,
      others: 0,
      reportedAt: -Infinity,
      percent: undefined,
    };
    this.views.set(id, view);
    return view;
  }

  toLoadView(now: number, id: string): TargetLoadView {
    const { own, others, reportedAt, percent } = this.viewOf(id);
    return {
      own,
      others,
      reportAgeMilliseconds: now - reportedAt,
      durationPercent: percent,
    };
  }

  place(now: number, targets: readonly ReplayTarget[]): ReplayTarget | undefined {
    const candidates = targets.map((target) => ({ target, view: this.viewOf(target.id) }));
    return this.#options.policy === 'former'
      ? this.#placeFormerly(now, candidates)
      : this.#placeByCapacity(now, candidates);
  }

  /** The placement before capacities were learned: the least load by reports that fade to none. */
  #placeFormerly(now: number, candidates: readonly Candidate[]): ReplayTarget | undefined {
    const costs = candidates.map(({ target, view }) => {
      const freshness = 1 - (now - view.reportedAt) / FORMER_REPORT_LIFETIME_MILLISECONDS;
      const load = view.own + view.others * Math.max(0, freshness);
      const margin = target.availabilityZone === this.zone ? 0 : FORMER_ZONE_MARGIN;
      return ((load + 1) * this.speeds.slowness(target.id)) / target.slots + margin;
    });
    return candidates[costs.indexOf(Math.min(...costs))]?.target;
  }

  #placeByCapacity(now: number, candidates: readonly Candidate[]): ReplayTarget | undefined {
    const estimated = candidates.map(({ target }) => ({
      ...this.capacities.estimate(
        { incarnation: target.id, slots: target.slots },
        this.speeds.slowness(target.id),
        this.toLoadView(now, target.id),
      ),
      id: target.id,
      availabilityZone: target.availabilityZone,
      view: this.toLoadView(now, target.id),
    }));
    const usual = this.speeds.usualMilliseconds(KIND) ?? this.#options.workMilliseconds;
    const { loads, concurrentRequests } = interpretLoads(estimated, usual);
    const placed = placePlainRequest(
      estimated.map((candidate, index) => ({ ...candidate, load: loads[index] ?? 0 })),
      {
        availabilityZone: drawZone(
          { ownZone: this.zone, instanceZones: this.#options.instanceZones, targets: estimated },
          () => this.#random.fraction(),
        ),
        concurrentRequests,
        random: () => this.#random.fraction(),
      },
    );
    return candidates.find(({ target }) => target.id === placed?.id)?.target;
  }
}

const percentile = (values: readonly number[], share: number): number =>
  [...values].sort((one, other) => one - other)[Math.floor(values.length * share)] ?? 0;

/** Replays seeded arrivals of plain requests at a small model of targets. */
export const replayPlain = (options: ReplayOptions): ReplayResult => {
  const random = new SeededRandom(options.seed);
  // The policies draw differently, and must get the same arrivals and work.
  const placementRandom = new SeededRandom(options.seed + 1);
  let now = 0;
  // A spy would record each of the many calls.
  Object.defineProperty(performance, 'now', { value: () => now, configurable: true });
  const instances = options.instanceZones.map(
    (zone) => new ReplayInstance(zone, options, placementRandom),
  );
  const running = new Map<string, RunningRequest[]>(options.targets.map(({ id }) => [id, []]));
  const starts: { readonly id: string; readonly at: number }[] = [];
  const durations: number[] = [];
  const peaks: number[] = [];
  let refused = 0;
  const loadOf = (id: string): number => running.get(id)?.length ?? 0;

  const report = (instance: ReplayInstance, target: ReplayTarget): void => {
    const view = instance.viewOf(target.id);
    view.others = Math.max(0, loadOf(target.id) - view.own);
    view.reportedAt = now;
    view.percent = target.reportedPercentAt?.(now);
  };

  const dispatch = (index: number, workMilliseconds: number): void => {
    const instance = instances[index]!;
    let targets = options.targets.filter(({ fromMilliseconds = 0 }) => fromMilliseconds <= now);
    for (let attempt = 0; attempt < MAXIMUM_DISPATCHES; attempt += 1) {
      const target = instance.place(now, targets);
      if (!target) break;
      if (loadOf(target.id) < target.slots) {
        instance.viewOf(target.id).own += 1;
        running.get(target.id)?.push({
          instance: index,
          startedAt: now,
          remaining: workMilliseconds,
        });
        starts.push({ id: target.id, at: now });
        return;
      }
      const key = { incarnation: target.id, slots: target.slots };
      instance.capacities.observeRefusal(key, loadOf(target.id));
      report(instance, target);
      targets = targets.filter((other) => other !== target);
    }
    if (now > WARM_UP_MILLISECONDS) refused += 1;
  };

  const work = (target: ReplayTarget): void => {
    const requests = running.get(target.id) ?? [];
    const onMachine = options.targets
      .filter(({ machine, id }) => id === target.id || (machine && machine === target.machine))
      .reduce((sum, { id }) => sum + loadOf(id), 0);
    const speed =
      Math.min(1, target.knee / Math.max(1, onMachine)) / (target.slowdownAt?.(now) ?? 1);
    requests.forEach((request) => {
      const worked = request;
      worked.remaining -= speed;
    });
    const ended = requests.filter(({ remaining }) => remaining <= 0);
    ended.forEach(({ instance: index, startedAt }) => {
      const instance = instances[index]!;
      report(instance, target);
      const milliseconds = now - startedAt;
      const usual = instance.speeds.usualMilliseconds(KIND) ?? milliseconds;
      instance.capacities.observeAnswer(
        { incarnation: target.id, slots: target.slots },
        { view: instance.toLoadView(now, target.id), milliseconds, usualMilliseconds: usual },
      );
      instance.speeds.observe(target.id, KIND, milliseconds);
      instance.viewOf(target.id).own -= 1;
      if (startedAt > WARM_UP_MILLISECONDS) durations.push(milliseconds);
    });
    running.set(
      target.id,
      requests.filter(({ remaining }) => remaining > 0),
    );
  };

  let nextArrival = 0;
  for (now = 0; now < options.durationMilliseconds; now += 1) {
    while (nextArrival <= now) {
      const index = random.integer(0, options.instanceZones.length - 1);
      dispatch(index, options.workMilliseconds * (0.5 + random.fraction()));
      nextArrival += random.exponential(1_000 / options.requestsPerSecond);
    }
    options.targets.forEach(work);
    if (now > WARM_UP_MILLISECONDS && now % 10 === 0) {
      const loads = options.targets.map(({ id }) => loadOf(id));
      const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
      if (mean > 0) peaks.push(Math.max(...loads) / mean);
    }
  }
  Reflect.deleteProperty(performance, 'now');

  const counted = starts.filter(({ at }) => at > WARM_UP_MILLISECONDS);
  const served = new Map(
    options.targets.map(({ id }) => [id, counted.filter((start) => start.id === id).length]),
  );
  const mean = [...served.values()].reduce((sum, count) => sum + count, 0) / served.size;
  return {
    served,
    refused,
    meanMilliseconds: durations.reduce((sum, value) => sum + value, 0) / durations.length,
    p99Milliseconds: percentile(durations, 0.99),
    busiestShare: Math.max(...served.values()) / mean,
    momentaryShare: peaks.reduce((sum, value) => sum + value, 0) / peaks.length,
    servedBetween: (id, from, to) =>
      starts.filter((start) => start.id === id && start.at >= from && start.at < to).length,
  };
};
