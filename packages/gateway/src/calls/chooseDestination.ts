import type { FleetRoute } from '../configuration/fleetConfiguration';
import { HASH_RANGE, hash32 } from '../util/hash32';
import type { CallEnvelope } from './callEnvelope';

/**
 * Returns the service that a request goes to, by the weights of its route. Requests of one session
 * go to one service, so that the prompt that they share stays in one place.
 */
export const chooseDestination = (route: FleetRoute, envelope: CallEnvelope): string => {
  const [only] = route.destinations;
  if (only && route.destinations.length === 1) return only.service;
  const key = envelope.program?.session ?? envelope.id;
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let rest = (hash32(key) / HASH_RANGE) * total;
  const chosen = route.destinations.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  return (chosen ?? only)?.service ?? '';
};
