import { z } from 'zod';

/** One running target, as it announced itself. */
export const fleetTargetSchema = z.object({
  /** Identifies one start of the target. */
  id: z.string().min(1),
  service: z.string().min(1),
  /** Host and port. */
  address: z.string().regex(/^[^:/\s]+:\d{1,5}$/),
  availabilityZone: z.string(),
  slots: z.number().int().positive(),
  state: z.enum(['serving', 'leaving']),
});

export type FleetTarget = z.infer<typeof fleetTargetSchema>;
