import type { OrganisationDemand, ProgramDecision } from '@limpetnotch/admission';

/** Demand of an organisation's programs as seen by one instance. */
export interface PeerDemand {
  /** Programs that the instance admitted and that should still be under way. */
  readonly programs: number;
  /** Integral number of tokens of its share that were not spent within the last window. */
  readonly unspentTokens: number;
  /** Whether the instance has admitted a request of the queried program. */
  readonly isProgramKnown: boolean;
}

/** Tokens of an organisation's rate that an instance asks for. */
export interface TokensWanted {
  /** Whole tokens for requests that wait. */
  readonly wanted: number;
  /** Whole tokens for requests that are expected within a second. */
  readonly ahead: number;
}

/** Tokens that other instances gave up. */
export interface TokensGiven {
  readonly given: number;
  readonly ahead: number;
  /** Time until one of them has another token; undefined if none knows. */
  readonly nextMilliseconds: number | undefined;
}

/** Request to a holder of an organisation's rate to admit a program. */
export interface ProgramAdmissionRequest extends TokensWanted {
  readonly organisation: string;
  readonly program: string;
  /** Time for which the program is expected to be under way. */
  readonly expectedMilliseconds: number;
}

/** Decision of a holder on a program. */
export interface ProgramAdmission {
  readonly decision: ProgramDecision;
  readonly tokens: TokensGiven;
  readonly retryAfterSeconds: number;
  /** Demand by which the program was refused. */
  readonly demand: Pick<OrganisationDemand, 'programs' | 'unspentTokens'> | undefined;
}

/** Access to the other instances for the sharing of rates. */
export interface QuotaPeers {
  /**
   * Requests tokens of an organisation's rate from other instances, one after another: from the named
   * ones or, if none are named, from a few.
   */
  takeTokens(
    organisation: string,
    tokens: TokensWanted,
    names?: readonly string[],
  ): Promise<TokensGiven>;
  /**
   * Queries other instances in parallel, all if none are named; those that don't respond in time are
   * left out of the result.
   */
  describeDemand(
    organisation: string,
    program: string,
    names?: readonly string[],
  ): Promise<readonly PeerDemand[]>;
  /** Has another instance decide on a program; undefined if it doesn't respond in time. */
  admitProgram(
    name: string,
    request: ProgramAdmissionRequest,
  ): Promise<ProgramAdmission | undefined>;
}
