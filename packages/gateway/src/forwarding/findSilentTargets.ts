import type { TargetActivity } from '../targets/targetActivity';

/** What an instance has sent to its targets and heard from them. */
export interface SilenceSituation {
  /** Targets with requests under way whose paths are not known to be cut. */
  readonly busyTargets: readonly TargetActivity[];
  /** Time since the last byte from any target whose path is not known to be cut. */
  readonly lastByteMilliseconds: number;
  /** Whether packets to another target are known to be dropped. */
  readonly isAnyPathLost: boolean;
}

/** No target sends anything for this long only if this instance has lost its connections. */
const ALL_SILENT_MILLISECONDS = 250;

/** Silence that is suspicious while other targets are lost. */
const SUSPICIOUS_MILLISECONDS = 100;

/** A single target may work for this long without a byte; then its path is checked. */
const ONE_SILENT_MILLISECONDS = 700;

/**
 * Returns the targets whose silence may mean that packets are dropped on the way, which no error
 * shows. Load pattern: plain calls of some tens of milliseconds and streams, at several targets at
 * the same time. Silence alone proves nothing, as a target may be at work, so each of these targets
 * is checked by opening a connection.
 */
export const findSilentTargets = ({
  busyTargets,
  lastByteMilliseconds,
  isAnyPathLost,
}: SilenceSituation): readonly string[] => {
  const silenceOf = ({ busyMilliseconds, silentMilliseconds }: TargetActivity): number =>
    Math.min(busyMilliseconds, silentMilliseconds);
  const longestSilence = Math.max(0, ...busyTargets.map(silenceOf));
  const areAllSilent = Math.min(lastByteMilliseconds, longestSilence) >= ALL_SILENT_MILLISECONDS;
  const areOthersLost = isAnyPathLost && lastByteMilliseconds >= SUSPICIOUS_MILLISECONDS;
  const limitMilliseconds =
    areAllSilent || areOthersLost ? SUSPICIOUS_MILLISECONDS : ONE_SILENT_MILLISECONDS;
  return busyTargets
    .filter((activity) => silenceOf(activity) >= limitMilliseconds)
    .map(({ targetId }) => targetId);
};
