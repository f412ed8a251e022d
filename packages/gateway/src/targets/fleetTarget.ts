import { z } from 'zod';

/** A running target, as it announced itself. */
export const fleetTargetSchema = z.object({
  /** Identifies the target; a restarted target may reuse its id. */
  id: z.string().min(1),
  service: z.string().min(1),
  /** Host and port. */
  address: z.string().regex(/^[^:/\s]+:\d{1,5}$/),
  availabilityZone: z.string(),
  slots: z.number().int().positive(),
  state: z.enum(['serving', 'leaving']),
  /**
   * Unix time of its start, which distinguishes incarnations with the same id; undefined if the
   * target announces none.
   */
  bornMilliseconds: z.number().int().optional(),
  /** Version of its software; undefined if the target announces none. */
  version: z.string().min(1).optional(),
});

export type FleetTarget = z.infer<typeof fleetTargetSchema>;
