/** Part of a bound after which relayed state is no longer trusted and the store is read instead. */
const TRUSTED_PART = 0.8;

/**
 * Part of a bound for which a reader's watch may be silent. It is below the trusted part, so that
 * the watch of a healthy reader ends, and its followers hear of it, before they read the store.
 */
const SILENCE_PART = 0.75;

/** Time beyond the silence of a watch without a bound for which relayed state is trusted. */
const UNBOUNDED_MARGIN_MILLISECONDS = 1_500;

/** Limits on the age of what is known of a prefix. */
export interface ObservationLimits {
  /** Silence after which a reader's watch counts as lost. */
  readonly silenceMilliseconds: number;
  /** Age after which relayed state is no longer trusted. */
  readonly trustMilliseconds: number;
}

/** Computes the limits of a prefix from the bound within which its changes must be in force. */
export const computeObservationLimits = (
  boundMilliseconds: number | undefined,
  watchSilenceMilliseconds: number,
): ObservationLimits => {
  if (boundMilliseconds === undefined) {
    return {
      silenceMilliseconds: watchSilenceMilliseconds,
      trustMilliseconds: watchSilenceMilliseconds + UNBOUNDED_MARGIN_MILLISECONDS,
    };
  }
  return {
    silenceMilliseconds: Math.min(watchSilenceMilliseconds, boundMilliseconds * SILENCE_PART),
    trustMilliseconds: boundMilliseconds * TRUSTED_PART,
  };
};
