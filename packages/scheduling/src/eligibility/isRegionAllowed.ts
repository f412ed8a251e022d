import type { EligibilityRules } from './eligibilityRules';

/**
 * Whether a request may reach an availability zone by the regions that it is restricted to. A zone
 * without a known region is in none of them, as a restriction must not depend on complete settings.
 */
export const isRegionAllowed = (
  { regions, allowedRegions }: Omit<EligibilityRules, 'evacuatedZones'>,
  availabilityZone: string | undefined,
): boolean => {
  if (allowedRegions.length === 0) return true;
  const region = availabilityZone === undefined ? undefined : regions.get(availabilityZone);
  return region !== undefined && allowedRegions.every((allowed) => allowed.includes(region));
};
