import { createHash } from 'node:crypto';

/** Number of partitions, fixed by the first publish. */
export const PARTITION_COUNT = 64;

const HASHED_BYTES = 6;

/**
 * Returns the partition of a name, from 0 to below the count, by the first bytes of its SHA-256.
 * The name of a program is `organisation/root`, that of an organisation's rate the organisation.
 */
export const partitionOf = (name: string, partitionCount: number = PARTITION_COUNT): number => {
  const digest = createHash('sha256').update(name).digest();
  return digest.readUIntBE(0, HASHED_BYTES) % partitionCount;
};
