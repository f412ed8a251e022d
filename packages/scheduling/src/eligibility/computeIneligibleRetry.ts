import type { Ineligibility } from './ineligibility';

/** Times within which a change by operators is in force. */
export interface OperatorBounds {
  readonly applyMilliseconds: number;
  readonly evacuationMilliseconds: number;
}

/**
 * Returns the time after which a request may be repeated whose targets are all ineligible, in
 * milliseconds. Only a change by operators makes them eligible again, so an earlier repeat is
 * refused as well: the shortest time is the one in which such a change comes into force.
 */
export const computeIneligibleRetry = (
  reasons: readonly Ineligibility[],
  bounds: OperatorBounds,
): number => {
  const toMilliseconds = ({ kind }: Ineligibility): number => {
    switch (kind) {
      case 'evacuated':
        return bounds.evacuationMilliseconds;
      case 'region-not-allowed':
        return bounds.applyMilliseconds;
    }
  };
  return Math.min(...reasons.map(toMilliseconds));
};
