import type { CallerRecord, TargetRun } from '@limpetnotch/stand-ins';
import type { Lifetime } from './lifetime';
import type { SoakRoute } from './soakRoutes';

/** A request as its caller and the targets saw it. */
export interface SoakExchange {
  readonly record: CallerRecord;
  readonly route: SoakRoute;
  /** Events that a whole stream has. */
  readonly steps: number;
  /** Time that the caller gave it. */
  readonly deadlineMilliseconds: number;
  /** The process at the other end of the connection. */
  readonly lifetime: Lifetime;
  readonly runs: TargetRun[];
}
