import type { QuarantineEntry } from '@limpetnotch/scheduling';

/** Status of one instance, as reported to operators. */
export interface InstanceStatus {
  readonly instance: string;
  readonly availabilityZone: string;
  readonly ready: boolean;
  /** `ready`, or the reason why the instance is not ready. */
  readonly readiness: string;
  /** Revision of the configuration in force. */
  readonly revision: number;
  /** Partitions that the instance owns. */
  readonly partitions: readonly number[];
  readonly members: readonly string[];
  readonly callsUnderWay: number;
  readonly storeReachable: boolean;
}

/** Operations that operators may request from an instance. */
export interface OperatorService {
  /** Secret of the operators; without it (`undefined`) operator requests are refused. */
  getOperatorToken(): string | undefined;
  getStatus(): InstanceStatus;
  listQuarantine(): readonly QuarantineEntry[];
  /** Lifts a quarantine; returns whether there was one. */
  liftQuarantine(requestDigest: string): boolean;
}
