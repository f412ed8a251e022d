/** Fleets of up to this size read the store as if there were no relays. */
const LARGEST_DIRECT_FLEET = 8;

/**
 * How an instance observes the store: `direct` without regard to others, `reader` by itself and for
 * others, `follower` by what readers relay.
 */
export type ObservationMode = 'direct' | 'reader' | 'follower';

/** What the mode depends on. */
export interface ModeConditions {
  /** Number of instances, including absent members. */
  readonly fleetSize: number;
  /** Whether this instance is one of the chosen readers. */
  readonly isChosen: boolean;
  /** Whether relayed state is recent enough. */
  readonly isRelayTrusted: boolean;
}

/** Whether a fleet is large enough to share the reading of the store. */
export const isSharing = (fleetSize: number): boolean => fleetSize > LARGEST_DIRECT_FLEET;

/** Decides how an instance observes the store; in doubt, it reads for itself. */
export const decideMode = ({
  fleetSize,
  isChosen,
  isRelayTrusted,
}: ModeConditions): ObservationMode => {
  if (!isSharing(fleetSize)) return 'direct';
  return isChosen || !isRelayTrusted ? 'reader' : 'follower';
};
