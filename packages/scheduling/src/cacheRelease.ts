import type { ResultAsync } from 'neverthrow';

/** Engine memory that an ended program still occupies at one target. */
export interface CacheRelease {
  readonly organisation: string;
  /** Root program, which identifies the session at the engine. */
  readonly rootProgram: string;
  readonly target: string;
  readonly address: string;
  /** Epoch of the partition, sent as the fencing number of the order. */
  readonly epoch: number;
  /** Whether the engine rejects orders with an outdated fencing number. */
  readonly fencing: 'obeyed' | 'ignored';
  /** Remaining time of the former owner; engines that ignore fencing get the order after it. */
  readonly formerOwnerMilliseconds: number;
}

/** Why an engine did not free a session. */
export type CacheOrderError =
  /** The engine has seen a higher fencing number: another instance owns the partition now. */
  { readonly kind: 'superseded' } | { readonly kind: 'failed'; readonly detail: string };

/** Sends orders to engines. */
export interface CacheOrderPort {
  /** Orders an engine to free a session; succeeds if the session no longer exists. */
  freeSession(release: CacheRelease, signal: AbortSignal): ResultAsync<void, CacheOrderError>;
}
