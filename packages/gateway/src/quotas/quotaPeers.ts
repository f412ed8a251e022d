/** What one instance knows of an organisation's programs. */
export interface PeerDemand {
  /** Programs that it admitted and that should be under way still. */
  readonly programs: number;
  /** Whole tokens of its part that were not spent within the last window. */
  readonly unspentTokens: number;
  /** Whether it has admitted a request of the program in question. */
  readonly isProgramKnown: boolean;
}

/** The other instances, as far as rates go. */
export interface QuotaPeers {
  /** Asks them for tokens of an organisation's rate; resolves to how many came. */
  takeTokens(organisation: string, wanted: number): Promise<number>;
  /** Asks all of them at once; those that don't answer in time are left out. */
  describeDemand(organisation: string, program: string): Promise<readonly PeerDemand[]>;
}
