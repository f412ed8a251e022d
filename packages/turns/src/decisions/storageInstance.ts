import { z } from 'zod';

/** Presence value of a storage instance, under `STORAGE_PREFIX` and its name. */
export const storageInstanceSchema = z.object({
  /** Host and port of its service. */
  address: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Identifies the process; differs for each start. */
  incarnation: z.string().min(1),
  /** An instance that is leaving accepts no turns and is no holder. */
  state: z.enum(['serving', 'leaving']),
  /** Whether the instance holds every turn that it should hold. */
  isWhole: z.boolean(),
  /** Whether the instance lost turns that it acknowledged, and has not found all of them yet. */
  hasLost: z.boolean().default(false),
  /** Absences of other members without which this instance has completed a repair. */
  repairedWithout: z.array(z.string()).default([]),
});

/** Presence value of a storage instance. */
export type StoragePresence = z.output<typeof storageInstanceSchema>;

/** A storage instance as other instances see it. */
export interface StorageInstance {
  readonly name: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly incarnation: string;
  readonly state: 'serving' | 'leaving';
  readonly isWhole: boolean;
}
