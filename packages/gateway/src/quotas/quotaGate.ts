import type { FleetOrganisation } from '../configuration/fleetConfiguration';

/** Whether one request fits in its organisation's rate. */
export type QuotaDecision =
  /** A token was taken; it goes back where the request never runs. */
  | { readonly kind: 'taken'; readonly giveBack: () => void }
  | {
      readonly kind: 'refused';
      readonly retryAfterSeconds: number;
      /** This instance's part of the rate, from 0 to 1. */
      readonly share: number;
      /** Requests a second of the organisation at this instance. */
      readonly demandPerSecond: number;
    };

/** What a request is to its program. */
export type ProgramStage =
  /** The first request of a program: all that follows will need tokens too. */
  | 'new-program'
  /** A request whose refusal may waste what the program has done so far. */
  | 'under-way';

/** Holds each organisation to its rate over all instances. */
export interface QuotaGate {
  take(organisation: FleetOrganisation, stage: ProgramStage): Promise<QuotaDecision>;
}
