/** Demand and capacity of the availability zones. */
export interface ZoneSituation {
  readonly ownZone: string;
  /** Availability zone of each instance, including this one; all get about the same demand. */
  readonly instanceZones: readonly string[];
  readonly targets: readonly { readonly availabilityZone: string; readonly capacity: number }[];
}

/** Load of the targets in a zone, relative to the mean, up to which requests stay in the zone. */
const TOLERATED_LOAD = 1.05;

/** With fewer instances, each sees enough of the loads to balance the zones by them. */
const LEAST_INSTANCES = 4;

const addTo = (sums: Map<string, number>, key: string, amount: number): void => {
  sums.set(key, (sums.get(key) ?? 0) + amount);
};

/** Demands by the list of instances, which is the same for many requests. */
const demandsByInstances = new WeakMap<readonly string[], ReadonlyMap<string, number>>();

const getDemands = (instanceZones: readonly string[]): ReadonlyMap<string, number> => {
  const known = demandsByInstances.get(instanceZones);
  if (known) return known;
  const demands = new Map<string, number>();
  instanceZones.forEach((zone) => addTo(demands, zone, 1 / instanceZones.length));
  demandsByInstances.set(instanceZones, demands);
  return demands;
};

/**
 * Returns the availability zone whose targets a request should prefer. If a zone has more of the
 * instances than of the capacity, a part of its requests prefers the other zones by their spare
 * capacity. Instances with few requests hear too rarely of the loads to notice this in time.
 */
export const drawZone = (
  { ownZone, instanceZones, targets }: ZoneSituation,
  random: () => number,
): string => {
  if (instanceZones.length < LEAST_INSTANCES) return ownZone;
  const capacities = new Map<string, number>();
  targets.forEach((target) => addTo(capacities, target.availabilityZone, target.capacity));
  const demands = getDemands(instanceZones);
  const total = [...capacities.values()].reduce((sum, capacity) => sum + capacity, 0);
  const demand = demands.get(ownZone) ?? 0;
  const kept = ((capacities.get(ownZone) ?? 0) / total) * TOLERATED_LOAD;
  if (demand <= kept || random() < kept / demand) return ownZone;
  const spares = [...capacities].map(([zone, capacity]) => ({
    zone,
    spare: Math.max(0, capacity / total - (demands.get(zone) ?? 0)),
  }));
  let remaining = random() * spares.reduce((sum, { spare }) => sum + spare, 0);
  const drawn = spares.find(({ spare }) => {
    remaining -= spare;
    return remaining < 0;
  });
  return drawn?.zone ?? ownZone;
};
