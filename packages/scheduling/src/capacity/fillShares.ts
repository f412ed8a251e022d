/** A target that takes a part of new requests. */
export interface FilledTarget {
  /** Concurrent requests that the target handles well, relative to its speed. */
  readonly capacity: number;
  /** Requests under way there. */
  readonly load: number;
}

/**
 * Returns the share of new requests for each target that makes their loads per capacity as equal as
 * possible: targets above the resulting level get none. With few new requests, all go to the least
 * loaded target; with many, the shares approach those of the capacities.
 */
export const fillShares = (
  targets: readonly FilledTarget[],
  newRequests: number,
): readonly number[] => {
  const byLevel = targets.map((target) => ({ target, reached: target.load / target.capacity }));
  byLevel.sort((one, other) => one.reached - other.reached);
  let level = 0;
  let load = newRequests;
  let capacity = 0;
  for (const { target, reached } of byLevel) {
    if (capacity > 0 && reached >= level) break;
    load += target.load;
    capacity += target.capacity;
    level = load / capacity;
  }
  return targets.map((target) =>
    newRequests > 0 ? Math.max(0, level * target.capacity - target.load) / newRequests : 0,
  );
};
