import type { CallResult } from '@limpetnotch/stand-ins';
import type { CallFault } from './callFaults';
import type { CallKind, CallStep } from './faultCell';

/** Observations of one cell of the matrix. */
export interface CellResult {
  readonly kind: CallKind;
  readonly step: CallStep;
  readonly faults: readonly CallFault[];
  /** Result of the first attempt, as observed by its caller. */
  readonly first: string;
  /** Result after retries with the same idempotency key. */
  readonly final: string;
  /** Number of executions at the tool; `undefined` for model calls. */
  readonly executions: number | undefined;
  /** Time from the fault until the final result, in milliseconds. */
  readonly milliseconds: number;
  /** Violated guarantees; empty if all held. */
  readonly violations: readonly string[];
}

/** Formats a call's result for reports. */
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
