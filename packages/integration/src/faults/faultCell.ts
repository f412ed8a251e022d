import type { CallResult, EntryCall } from '@limpetnotch/stand-ins';
import type { FaultFleet } from './faultFleet';

/** Steps of a call at which faults are injected. */
export const CALL_STEPS = [
  'arrival',
  'intent',
  'dispatch',
  'running',
  'outcome',
  'answered',
] as const;

export type CallStep = (typeof CALL_STEPS)[number];

/** Kinds of calls: a streamed model call, and a tool call that may not be repeated. */
export const CALL_KINDS = ['model', 'charge'] as const;

export type CallKind = (typeof CALL_KINDS)[number];

/** One call in progress, as used by steps and faults. */
export interface CellCall {
  readonly fleet: FaultFleet;
  readonly kind: CallKind;
  readonly program: string;
  readonly partition: number;
  readonly owner: number;
  readonly entry: number;
  /** Name of the key that the call uses. */
  readonly key: string;
  /** Identifier of the call: its idempotency key, and the `effect` in a tool's body. */
  readonly effect: string;
  readonly request: Omit<EntryCall, 'entry'>;
  /** Aborts the caller's connection. */
  readonly callerAbort: AbortController;
}

/** A call that is held at a step. */
export interface ReachedCall {
  readonly result: Promise<CallResult>;
  /** Lets the call continue. */
  release(): void;
}
