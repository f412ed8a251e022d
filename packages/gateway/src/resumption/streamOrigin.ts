import type { FleetTarget } from '../targets/fleetTarget';

/** Service and software version of the target that sent the first event of a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Undefined if the target announces no version; such a stream can't go on anywhere. */
  readonly version: string | undefined;
}

/** Whether a target may send further events of a stream: versions write events that don't fit. */
export const maySendEvents = (origin: StreamOrigin | undefined, target: FleetTarget): boolean =>
  origin === undefined ||
  (origin.version !== undefined &&
    target.version === origin.version &&
    target.service === origin.service);
