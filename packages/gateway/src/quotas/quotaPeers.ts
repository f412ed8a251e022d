/** Demand of an organisation's programs as seen by one instance. */
export interface PeerDemand {
  /** Programs that the instance admitted and that should still be under way. */
  readonly programs: number;
  /** Integral number of tokens of its share that were not spent within the last window. */
  readonly unspentTokens: number;
  /** Whether the instance has admitted a request of the queried program. */
  readonly isProgramKnown: boolean;
}

/** Access to the other instances for the sharing of rates. */
export interface QuotaPeers {
  /**
   * Requests tokens of an organisation's rate from other instances; resolves to the number received.
   */
  takeTokens(organisation: string, wanted: number): Promise<number>;
  /**
   * Queries all other instances in parallel; those that don't respond in time are left out of the
   * result.
   */
  describeDemand(organisation: string, program: string): Promise<readonly PeerDemand[]>;
}
