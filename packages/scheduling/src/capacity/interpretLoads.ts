import type { TargetLoadView } from './targetLoadView';

/** A target with what is known of its load. */
export interface LoadedTarget {
  /** Concurrent requests that the target handles well. */
  readonly capacity: number;
  readonly view: TargetLoadView;
}

/** Expected loads, and how far they can be relied on. */
export interface InterpretedLoads {
  /** Expected requests under way at each target, in the order of the targets. */
  readonly loads: readonly number[];
  /** Requests, with the one to place, that instances place before they see one another's choices. */
  readonly concurrentRequests: number;
}

/** Reports older than this are not used for the mean of the targets. */
const MEAN_LIFETIME_MILLISECONDS = 2_000;

/** Usual durations after which a report says little more than the mean. */
const REPORT_LIFETIME_DURATIONS = 3;

/**
 * Share of the requests of others since the reports with which a choice reckons. Instances have
 * different reports, so only some of them prefer the same target.
 */
const CONCURRENT_SHARE = 0.1;

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

/**
 * Estimates the present load of targets from reports of different ages. The requests that a report
 * counted end after about `usualMilliseconds`; those that replaced them are assumed to be spread
 * evenly. A target without a recent report is therefore expected to have the mean load: if it counted
 * as idle, all instances that have not heard of it would choose it.
 */
export const interpretLoads = (
  targets: readonly LoadedTarget[],
  usualMilliseconds: number,
): InterpretedLoads => {
  const weights = targets.map(({ view }) =>
    Math.exp(-view.reportAgeMilliseconds / MEAN_LIFETIME_MILLISECONDS),
  );
  const reportedLoad = sum(targets.map(({ view }, index) => view.others * (weights[index] ?? 0)));
  const reportedCapacity = sum(
    targets.map(({ capacity }, index) => capacity * (weights[index] ?? 0)),
  );
  const meanPerCapacity = reportedCapacity > 0 ? reportedLoad / reportedCapacity : 0;
  const lifetime = usualMilliseconds * REPORT_LIFETIME_DURATIONS;
  const kept = targets.map(({ view }) => Math.exp(-view.reportAgeMilliseconds / lifetime));
  const loads = targets.map(({ capacity, view }, index) => {
    const keptShare = kept[index] ?? 0;
    return view.own + view.others * keptShare + meanPerCapacity * capacity * (1 - keptShare);
  });
  const unseen = targets.map(({ view }, index) => (loads[index] ?? 0) - view.own);
  const unseenLoad = sum(unseen.map((load, index) => load * (1 - (kept[index] ?? 0))));
  return { loads, concurrentRequests: 1 + unseenLoad * CONCURRENT_SHARE };
};
