import type { ProgramIdentifier } from '@limpetnotch/programs';
import type { QuarantineEntry } from '@limpetnotch/scheduling';

/** State of one instance, as operators see it. */
export interface InstanceStatus {
  readonly instance: string;
  readonly availabilityZone: string;
  readonly readiness: string;
  readonly configurationRevision: number;
  readonly ownedPartitions: readonly number[];
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
  readProgram(program: ProgramIdentifier): Promise<object>;
  endProgram(program: ProgramIdentifier): Promise<object>;
}
