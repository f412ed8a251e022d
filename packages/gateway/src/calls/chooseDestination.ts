import { createHash } from 'node:crypto';
import type { FleetRoute } from '../configuration/fleetConfiguration';
import type { CallEnvelope } from './callEnvelope';

const HASH_BYTES = 4;
const HASH_RANGE = 2 ** (8 * HASH_BYTES);

/**
 * Returns the service that a request goes to, by the weights of its route. Requests of one session
 * go to one service, so that the prompt that they share stays in one place.
 */
export const chooseDestination = (route: FleetRoute, envelope: CallEnvelope): string => {
  const [only] = route.destinations;
  if (only && route.destinations.length === 1) return only.service;
  const key = envelope.program?.session ?? envelope.id;
  const hash = createHash('md5').update(key).digest().readUIntBE(0, HASH_BYTES) / HASH_RANGE;
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let rest = hash * total;
  const chosen = route.destinations.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  return (chosen ?? only)?.service ?? '';
};
