import type { OrganisationDemand } from '@limpetnotch/admission';
import type { FleetOrganisation } from '../configuration/fleetConfiguration';

/** Refusal of a request by its organisation's rate. */
export interface QuotaRefusal {
  readonly kind: 'refused';
  readonly reason: 'no-token' | 'programs-need-the-rate' | 'window-is-spent';
  readonly retryAfterSeconds: number;
  /** Tokens available on this instance. */
  readonly tokens: number;
  /** Requests per second of the organisation on this instance. */
  readonly demandPerSecond: number;
  /** Demand by which a program was refused; undefined if the request found no token. */
  readonly demand: Pick<OrganisationDemand, 'programs' | 'unspentTokens'> | undefined;
}

/** Whether the program of a request may start or go on. */
export type ProgramQuotaDecision = { readonly kind: 'admitted' } | QuotaRefusal;

/** Result of taking a token of an organisation's rate for one request. */
export type QuotaDecision =
  /** A token was taken; it is returned if the request never runs. */
  { readonly kind: 'taken'; readonly returnToken: () => void } | QuotaRefusal;

/** Stage of the program to which a request belongs. */
export type ProgramStage =
  /** The request may be the program's first; all later ones will need tokens too. */
  | { readonly kind: 'new-program'; readonly expectedMilliseconds: number }
  /** Refusing the request may waste the work that the program has done so far. */
  | { readonly kind: 'under-way' };

/** Request for a token of an organisation's rate. */
export interface QuotaRequest {
  readonly organisation: FleetOrganisation;
  /**
   * Identifies the program across all organisations; undefined for a request that belongs to no
   * program.
   */
  readonly programKey: string | undefined;
  readonly stage: ProgramStage;
}

/** Enforces the rate of each organisation across all instances. */
export interface QuotaGate {
  /** Decides on a request that may start its program; others are admitted. */
  admit(request: QuotaRequest): Promise<ProgramQuotaDecision>;
  /** Takes a token for a request that was admitted. */
  take(request: QuotaRequest): Promise<QuotaDecision>;
}
