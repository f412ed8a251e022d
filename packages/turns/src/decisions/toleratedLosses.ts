/** What may be lost at the same time without losing a turn. */
export interface ToleratedLosses {
  readonly instances: number;
  readonly availabilityZones: number;
}
