import type { FleetOrganisation } from '../configuration/fleetConfiguration';

/** Whether one request fits in its organisation's rate. */
export type QuotaDecision =
  /** A token was taken; it goes back where the request never runs. */
  | { readonly kind: 'taken'; readonly giveBack: () => void }
  | { readonly kind: 'refused'; readonly retryAfterSeconds: number };

/** Holds each organisation to its rate over all instances. */
export interface QuotaGate {
  take(organisation: FleetOrganisation): QuotaDecision | Promise<QuotaDecision>;
}
