import type { ToleratedLosses } from '../decisions/toleratedLosses';

/** Settings of a storage instance. */
export interface StorageSettings {
  /** Name of the instance. */
  readonly instance: string;
  readonly availabilityZone: string;
  readonly host: string;
  /** TCP port of the service; 0 lets the system choose. */
  readonly port: number;
  /** Whether the complete system starts for the first time, so that no turns exist. */
  readonly isFirstStart: boolean;
  readonly toleratedLosses: ToleratedLosses;
  /** Time from the stop signal to the end of the process. */
  readonly graceMilliseconds: number;
}
