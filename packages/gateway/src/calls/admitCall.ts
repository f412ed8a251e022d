import type { FleetOrganisation, FleetRoute } from '../configuration/fleetConfiguration';
import type { FleetState } from '../fleet/fleetState';
import type { CallEnvelope } from './callEnvelope';
import type { Refusal } from './refusal';

/** Callers that arrive before the first configuration was read retry after this time. */
const NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.5;

/** Callers whose key or route may not have reached this instance yet retry at another one. */
const OUTDATED_CONFIGURATION_RETRY_AFTER_SECONDS = 0.1;

/** Whether the configuration admits a request. */
export type Admission =
  | {
      readonly kind: 'admitted';
      readonly route: FleetRoute;
      readonly organisation: FleetOrganisation | undefined;
    }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

const extractPath = (pathAndQuery: string): string => pathAndQuery.split('?', 1)[0] ?? '';

const refused = (refusal: Refusal): Admission => ({ kind: 'refused', refusal });

/**
 * Looks up the route and the key of a request. While the configuration may be outdated, a missing
 * key or route leads to a retryable refusal: it may be new and already known at other instances.
 */
export const admitCall = (fleet: FleetState, envelope: CallEnvelope): Admission => {
  const { index } = fleet;
  if (!index) {
    const retryAfterSeconds = NO_CONFIGURATION_RETRY_AFTER_SECONDS;
    return refused({ kind: 'unavailable', reason: 'no configuration', retryAfterSeconds });
  }
  const refuseUnknown = (kind: 'unknown-route' | 'unknown-key'): Admission => {
    if (!fleet.isConfigurationUnconfirmed) return refused({ kind });
    const reason = `${kind}, and the configuration may be outdated`;
    const retryAfterSeconds = OUTDATED_CONFIGURATION_RETRY_AFTER_SECONDS;
    return refused({ kind: 'unavailable', reason, retryAfterSeconds });
  };
  const organisation =
    envelope.key === undefined ? undefined : index.findOrganisation(envelope.key);
  const route = index.findRoute(envelope.host, extractPath(envelope.pathAndQuery));
  if (!route) return refuseUnknown('unknown-route');
  const needsKey = index.hasOrganisations && !route.isOpenToAll;
  if (needsKey && !organisation) return refuseUnknown('unknown-key');
  return { kind: 'admitted', route, organisation };
};
