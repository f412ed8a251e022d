import type { FleetRoute } from '../configuration/fleetConfiguration';
import { HASH_RANGE, hash32 } from '../util/hash32';
import type { CallEnvelope } from './callEnvelope';

/**
 * Chooses the service for a request by the weights of its route. Requests of one session are sent
 * to one service, so that their shared prompt stays cached in one place.
 */
export const chooseDestination = (route: FleetRoute, envelope: CallEnvelope): string => {
  const [firstDestination] = route.destinations;
  if (firstDestination && route.destinations.length === 1) return firstDestination.service;
  const key = envelope.program?.session ?? envelope.id;
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = (hash32(key) / HASH_RANGE) * total;
  const chosen = route.destinations.find(({ weight }) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  return (chosen ?? firstDestination)?.service ?? '';
};
