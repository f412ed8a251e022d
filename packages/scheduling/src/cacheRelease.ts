import type { ResultAsync } from 'neverthrow';

/** Engine memory that a program that ended still holds at one target. */
export interface CacheRelease {
  readonly organisation: string;
  /** Root program, as the engine knows its session. */
  readonly rootProgram: string;
  readonly target: string;
  readonly address: string;
  /** Epoch of the partition, sent as the fencing number of the order. */
  readonly epoch: number;
  /** Whether the engine refuses orders with an old fencing number. */
  readonly fencing: 'obeyed' | 'ignored';
  /** Time left of the former owner, in milliseconds, which an engine that ignores fencing needs. */
  readonly formerOwnerMilliseconds: number;
}

/** Why an engine did not free a session. */
export type CacheOrderError =
  /** The engine saw a higher fencing number: another instance owns the partition now. */
  { readonly kind: 'superseded' } | { readonly kind: 'failed'; readonly detail: string };

/** Sends orders to engines. */
export interface CacheOrderPort {
  /** Orders an engine to free a session; freeing one that is already gone succeeds. */
  freeSession(release: CacheRelease, signal: AbortSignal): ResultAsync<void, CacheOrderError>;
}
