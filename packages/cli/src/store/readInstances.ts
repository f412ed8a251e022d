import type { KeyValueStore } from '@limpetnotch/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { CommandError } from '../commandError';

const INSTANCES_PREFIX = 'instances/';

const instanceSchema = z.looseObject({
  instance: z.string(),
  incarnation: z.string(),
  peerAddress: z.string(),
  availabilityZone: z.string(),
  leaving: z.boolean(),
});

/** An instance as registered in the store under its lease. */
export type RegisteredInstance = z.infer<typeof instanceSchema>;

const parseInstance = (value: string): RegisteredInstance[] => {
  try {
    const parsed = instanceSchema.safeParse(JSON.parse(value));
    return parsed.success ? [parsed.data] : [];
  } catch {
    return [];
  }
};

/** Reads the instances that hold a lease; malformed entries are skipped. */
export const readInstances = async (
  store: KeyValueStore,
): Promise<Result<readonly RegisteredInstance[], CommandError>> => {
  const listing = await store.list(INSTANCES_PREFIX);
  if (listing.isErr()) {
    const { kind, detail } = listing.error;
    return err({ kind: 'store-unreachable', detail: `${kind}: ${detail}` });
  }
  return ok(listing.value.entries.flatMap(({ value }) => parseInstance(value)));
};
