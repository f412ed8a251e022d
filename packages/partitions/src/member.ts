import { z } from 'zod';

/** An instance as its lease in the store, or the platform's list, describes it. */
export const memberSchema = z.object({
  /** Name of the instance. */
  instance: z.string().min(1),
  /** Differs for each start of the same instance. */
  incarnation: z.string().min(1),
  /** Host and port where peers reach it. */
  peerAddress: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Whether it is shutting down and takes no new partition. */
  leaving: z.boolean(),
});

export type Member = z.infer<typeof memberSchema>;
