import type { QuarantineEntry } from '@limpetnotch/scheduling';

/** State of one instance, as operators see it. */
export interface InstanceStatus {
  readonly instance: string;
  readonly availabilityZone: string;
  readonly ready: boolean;
  /** `ready`, or why it is not. */
  readonly readiness: string;
  /** Revision of the configuration in force. */
  readonly revision: number;
  /** Partitions that the instance owns. */
  readonly partitions: readonly number[];
  readonly members: readonly string[];
  readonly callsUnderWay: number;
  readonly storeReachable: boolean;
}

/** What operators may ask of an instance. */
export interface OperatorDesk {
  /** Secret of the operators; `undefined` where their calls are refused. */
  operatorToken(): string | undefined;
  status(): InstanceStatus;
  quarantine(): readonly QuarantineEntry[];
  /** Lifts a quarantine; returns whether there was one. */
  lift(requestDigest: string): boolean;
}
