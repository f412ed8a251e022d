import type { FleetOrganisation, FleetRoute } from '../configuration/fleetConfiguration';
import type { FleetState } from '../fleet/fleetState';
import type { CallEnvelope } from './callEnvelope';
import type { Refusal } from './refusal';

/** Callers that came before the first configuration was read try again shortly. */
const NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.5;

/** Callers that this instance may not know yet try again at another one. */
const IN_DOUBT_RETRY_AFTER_SECONDS = 0.1;

/** What the configuration says of a request. */
export type Admission =
  | {
      readonly kind: 'admitted';
      readonly route: FleetRoute;
      readonly organisation: FleetOrganisation | undefined;
    }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

const pathOf = (pathAndQuery: string): string => pathAndQuery.split('?', 1)[0] ?? '';

const refused = (refusal: Refusal): Admission => ({ kind: 'refused', refusal });

/**
 * Looks a request's route and key up. While the configuration may be outdated, what it doesn't know
 * is not refused for good: the key or the route may be new, and others may know it.
 */
export const admitCall = (fleet: FleetState, envelope: CallEnvelope): Admission => {
  const { index } = fleet;
  if (!index) {
    const retryAfterSeconds = NO_CONFIGURATION_RETRY_AFTER_SECONDS;
    return refused({ kind: 'unavailable', reason: 'no configuration', retryAfterSeconds });
  }
  const unknown = (kind: 'unknown-route' | 'unknown-key'): Admission => {
    if (!fleet.isConfigurationInDoubt) return refused({ kind });
    const reason = `${kind}, and the configuration may be outdated`;
    const retryAfterSeconds = IN_DOUBT_RETRY_AFTER_SECONDS;
    return refused({ kind: 'unavailable', reason, retryAfterSeconds });
  };
  const organisation = envelope.key === undefined ? undefined : index.organisationOf(envelope.key);
  const route = index.routeOf(envelope.host, pathOf(envelope.pathAndQuery));
  if (!route) return unknown('unknown-route');
  const needsKey = index.hasOrganisations && !route.isOpenToAll;
  if (needsKey && !organisation) return unknown('unknown-key');
  return { kind: 'admitted', route, organisation };
};
