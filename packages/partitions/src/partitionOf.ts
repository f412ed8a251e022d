import { createHash } from 'node:crypto';

/** Number of partitions, fixed at the first publish. */
export const PARTITION_COUNT = 64;

const HASHED_BYTES = 6;

/**
 * Returns the partition of a name, from 0 up to the count, by the first bytes of its SHA-256.
 * A program hashes by `organisation/root`, an organisation's rate by the organisation alone.
 */
export const partitionOf = (name: string, partitionCount: number = PARTITION_COUNT): number => {
  const digest = createHash('sha256').update(name).digest();
  return digest.readUIntBE(0, HASHED_BYTES) % partitionCount;
};
