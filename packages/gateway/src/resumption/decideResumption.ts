import type { StreamOrigin } from './streamOrigin';

/** What an instance knows about a stream that a caller resumes. */
export interface ResumptionSituation {
  readonly service: string;
  /** Services to which the route may send the request. */
  readonly allowedServices: readonly string[];
  /** Recorded origin; undefined if no reachable instance has it. */
  readonly origin: StreamOrigin | undefined;
  /**
   * Versions of the service that may have begun the stream; undefined if this instance has not
   * observed the service for long enough, or can't confirm its view.
   */
  readonly possibleVersions: readonly (string | undefined)[] | undefined;
}

/** Why a stream is not resumed. */
export type ResumptionRefusalReason =
  /** Nobody knows the version, and this instance can't rule out others. */
  | 'unobserved'
  /** Nobody knows the version, and more than one may have begun the stream. */
  | 'several-versions'
  /** The target that began the stream announced no version. */
  | 'no-version'
  /** The route no longer allows the service that began the stream. */
  | 'other-service';

/** Whether and where a stream is resumed. */
export type ResumptionDecision =
  | {
      readonly kind: 'resumed';
      readonly origin: StreamOrigin;
      readonly evidence: 'recorded' | 'only-version';
    }
  | { readonly kind: 'refused'; readonly reason: ResumptionRefusalReason };

const refused = (reason: ResumptionRefusalReason): ResumptionDecision => ({
  kind: 'refused',
  reason,
});

/**
 * Decides whether a stream that a caller resumes may go on. Load pattern: instances or targets
 * crash while several versions of a service serve, and the callers of all their streams come back
 * at once, at instances that may have just started. An unknown version is never taken for an equal
 * one: the stream goes on only if no other version can have begun it.
 */
export const decideResumption = (situation: ResumptionSituation): ResumptionDecision => {
  const { service, allowedServices, origin, possibleVersions } = situation;
  if (origin) {
    if (!allowedServices.includes(origin.service)) return refused('other-service');
    if (origin.version === undefined) return refused('no-version');
    return { kind: 'resumed', origin, evidence: 'recorded' };
  }
  if (!possibleVersions) return refused('unobserved');
  const [version, ...others] = possibleVersions;
  if (others.length > 0) return refused('several-versions');
  if (version === undefined) return refused('no-version');
  return { kind: 'resumed', origin: { service, version }, evidence: 'only-version' };
};
