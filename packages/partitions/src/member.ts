import { z } from 'zod';

/** Description of an instance, from its leased key in the store or from the platform's list. */
export const memberSchema = z.object({
  /** Name of the instance. */
  instance: z.string().min(1),
  /** Identifier of one start of the instance; differs for each start. */
  incarnation: z.string().min(1),
  /** Host and port under which peers reach the instance. */
  peerAddress: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Whether the instance is shutting down and claims no new partition. */
  leaving: z.boolean(),
});

export type Member = z.infer<typeof memberSchema>;
