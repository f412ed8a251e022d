import { z } from 'zod';

/** One running target, as it announced itself. */
export const fleetTargetSchema = z.object({
  /** Identifies the target; one that starts again may have the id that it had. */
  id: z.string().min(1),
  service: z.string().min(1),
  /** Host and port. */
  address: z.string().regex(/^[^:/\s]+:\d{1,5}$/),
  availabilityZone: z.string(),
  slots: z.number().int().positive(),
  state: z.enum(['serving', 'leaving']),
  /** Unix time of its start, which tells starts under one id apart; undefined where it names none. */
  bornMilliseconds: z.number().int().optional(),
});

export type FleetTarget = z.infer<typeof fleetTargetSchema>;
