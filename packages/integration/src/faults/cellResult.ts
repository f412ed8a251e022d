import type { CallResult } from '@limpetnotch/stand-ins';
import type { CallFault } from './callFaults';
import type { CallKind, CallStep } from './faultCell';

/** What was seen in one cell of the matrix. */
export interface CellResult {
  readonly kind: CallKind;
  readonly step: CallStep;
  readonly faults: readonly CallFault[];
  /** Result of the first attempt, as its caller saw it. */
  readonly first: string;
  /** Result after retries with the same idempotency key. */
  readonly final: string;
  /** Times that the tool had its effect; `undefined` for model calls. */
  readonly executions: number | undefined;
  /** Time from the fault until the final result, in milliseconds. */
  readonly milliseconds: number;
  /** Promises that were broken; empty where all held. */
  readonly broken: readonly string[];
}

/** Describes a call's result in a few words. */
export const describeResult = (result: CallResult): string => {
  switch (result.kind) {
    case 'answered':
      return result.isReplay ? 'answered (replayed)' : 'answered';
    case 'problem':
      return `${result.problem} (executed: ${result.executed})`;
    case 'broken':
      return 'connection lost';
    default:
      return result satisfies never;
  }
};
