/** Rules that exclude targets, and other instances, from a request. */
export interface EligibilityRules {
  readonly evacuatedZones: ReadonlySet<string>;
  /** Region of each availability zone. */
  readonly regions: ReadonlyMap<string, string>;
  /** Lists of regions that restrict the request; each of them applies. Empty without restriction. */
  readonly allowedRegions: readonly (readonly string[])[];
}
