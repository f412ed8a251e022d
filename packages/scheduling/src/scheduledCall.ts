/** A prompt message as prefix caches distinguish it from others. */
export interface PrefixBlock {
  /** Chained digest of this message and all earlier ones. */
  readonly digest: string;
  readonly tokens: number;
}

/** A call to be placed at a target. */
export interface ScheduledCall {
  readonly callId: string;
  readonly organisation: string;
  /** Identifier of the root program, to which the service received is charged. */
  readonly rootProgram: string;
  readonly route: string;
  /** Model that the caller requested; `undefined` for plain services. */
  readonly model: string | undefined;
  /** Targets that the route allows. */
  readonly targets: readonly string[];
  /** Blocks of the prompt in message order; empty for plain services. */
  readonly prefix: readonly PrefixBlock[];
  readonly maximumOutputTokens: number;
  readonly idempotent: boolean;
  /** SHA-256 of the request, which identifies a request that crashes targets. */
  readonly requestDigest: string;
  /** Targets at which this call failed before. */
  readonly excludedTargets: readonly string[];
}
