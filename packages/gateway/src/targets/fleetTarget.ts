import { z } from 'zod';

const ADDRESS_PATTERN = /^[^:/\s]+:(\d{1,5})$/;

const HIGHEST_PORT = 65_535;

/** More than any target has; a higher number would draw all requests to one target. */
const MAXIMUM_SLOTS = 10_000;

/** Whether a connection to an address can be tried; clients throw on others. */
const isAddress = (text: string): boolean => {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1] ?? 0);
  return port >= 1 && port <= HIGHEST_PORT && URL.canParse(`http://${text}`);
};

/** A running target, as it announced itself. */
export const fleetTargetSchema = z.object({
  /** Identifies the target; a restarted target may reuse its id. */
  id: z.string().min(1),
  service: z.string().min(1),
  /** Host and port. */
  address: z.string().refine(isAddress, 'not an address'),
  availabilityZone: z.string(),
  slots: z.number().int().positive().max(MAXIMUM_SLOTS),
  state: z.enum(['serving', 'leaving']),
  /**
   * Unix time of its start, which distinguishes incarnations with the same id; undefined if the
   * target announces none.
   */
  bornMilliseconds: z.number().int().optional(),
  /** Version of its software; undefined if the target announces none. */
  version: z.string().min(1).optional(),
  /** Time for which it is cold from the reading of the announcement; undefined if it announces none. */
  coldRemainingMilliseconds: z.number().min(0).optional(),
});

export type FleetTarget = z.infer<typeof fleetTargetSchema>;
