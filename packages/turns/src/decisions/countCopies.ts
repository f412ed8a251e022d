import type { ToleratedLosses } from './toleratedLosses';

/** Returns the number of copies of a turn of which at least one survives the tolerated losses. */
export const countCopies = ({ instances, availabilityZones }: ToleratedLosses): number =>
  Math.max(instances, availabilityZones) + 1;
