/** One message of a prompt, as far as prefix caches can tell it from others. */
export interface PrefixBlock {
  /** Chain digest of this message and all before it. */
  readonly digest: string;
  readonly tokens: number;
}

/** A call that waits for a target. */
export interface ScheduledCall {
  readonly callId: string;
  readonly organisation: string;
  /** Identifier of the root program, by which service received is counted. */
  readonly rootProgram: string;
  readonly route: string;
  /** Model that the caller named; `undefined` for plain services. */
  readonly model: string | undefined;
  /** Targets that the route allows. */
  readonly targets: readonly string[];
  /** Prompt as blocks, the first message first; empty for plain services. */
  readonly prefix: readonly PrefixBlock[];
  readonly maximumOutputTokens: number;
  readonly idempotent: boolean;
  /** SHA-256 of the request, by which a request that crashes targets is recognised. */
  readonly requestDigest: string;
  /** Targets that failed this call before. */
  readonly excludedTargets: readonly string[];
}
