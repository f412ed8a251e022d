import type { OrganisationDemand } from '@limpetnotch/admission';
import type { FleetOrganisation } from '../configuration/fleetConfiguration';

/** Whether one request fits in its organisation's rate. */
export type QuotaDecision =
  /** A token was taken; it goes back where the request never runs. */
  | { readonly kind: 'taken'; readonly giveBack: () => void }
  | {
      readonly kind: 'refused';
      readonly reason: 'no-token' | 'programs-need-the-rate' | 'window-is-spent';
      readonly retryAfterSeconds: number;
      /** Tokens that this instance could spend. */
      readonly tokens: number;
      /** Requests a second of the organisation at this instance. */
      readonly demandPerSecond: number;
      /** What all instances knew; undefined where they weren't asked. */
      readonly demand: OrganisationDemand | undefined;
    };

/** What a request is to its program. */
export type ProgramStage =
  /** A request that may be a program's first: all that follows will need tokens too. */
  | { readonly kind: 'new-program'; readonly expectedMilliseconds: number }
  /** A request whose refusal may waste what the program has done so far. */
  | { readonly kind: 'under-way' };

/** A request that asks for a token. */
export interface QuotaRequest {
  readonly organisation: FleetOrganisation;
  /** Identifies the program over all organisations; undefined for a request of no program. */
  readonly programKey: string | undefined;
  readonly stage: ProgramStage;
}

/** Holds each organisation to its rate over all instances. */
export interface QuotaGate {
  take(request: QuotaRequest): Promise<QuotaDecision>;
}
