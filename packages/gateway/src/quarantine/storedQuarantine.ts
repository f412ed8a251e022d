import type { QuarantineEntry } from '@limpetnotch/scheduling';
import { countedCrashes, quarantineEntrySchema } from '@limpetnotch/scheduling';
import type { KeyValueStore, StoreEntry, StoreError } from '@limpetnotch/store';
import { parseJson } from '@limpetnotch/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { QUARANTINE_PREFIX } from './quarantineLedger';

/** Instances rarely write an entry, so repeated conflicts are unlikely. */
const MAXIMUM_ATTEMPTS = 5;

/** Outcome of an operator's request to lift a quarantine. */
export type LiftOutcome = 'lifted' | 'not-found' | 'conflict';

const isSuspected = (entry: QuarantineEntry): boolean => countedCrashes(entry).length > 0;

/** Lists the requests under suspicion or in quarantine that are stored. */
export const listStoredQuarantine = async (
  store: KeyValueStore,
): Promise<Result<readonly QuarantineEntry[], StoreError>> => {
  const listing = await store.list(QUARANTINE_PREFIX);
  return listing.map(({ entries }) =>
    entries
      .flatMap(({ value }) => parseJson(quarantineEntrySchema, value) ?? [])
      .filter(isSuspected),
  );
};

const tryLift = async (
  store: KeyValueStore,
  { key, revision }: StoreEntry,
  entry: QuarantineEntry,
): Promise<Result<LiftOutcome, StoreError>> => {
  const now = Date.now();
  const latest = Math.max(...entry.crashes.map(({ atMilliseconds }) => atMilliseconds));
  const lifted = { ...entry, crashes: [], liftedAtMilliseconds: Math.max(now, latest) };
  const written = await store.grantLease(entry.expiresAtMilliseconds - now).andThen(({ leaseId }) =>
    store.compareAndSwap({
      key,
      value: JSON.stringify(lifted),
      expectedRevision: revision,
      leaseId,
    }),
  );
  return written.map(({ kind }) => (kind === 'swapped' ? 'lifted' : 'conflict'));
};

/** Allows a request to run again; instances that watch the store are notified immediately. */
export const liftStoredQuarantine = async (
  store: KeyValueStore,
  digest: string,
): Promise<Result<LiftOutcome, StoreError>> => {
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    const read = await store.read(`${QUARANTINE_PREFIX}${digest}`);
    if (read.isErr()) return err(read.error);
    const entry = read.value && parseJson(quarantineEntrySchema, read.value.value);
    if (!read.value || !entry || !isSuspected(entry)) return ok('not-found');
    const outcome = await tryLift(store, read.value, entry);
    if (outcome.isErr() || outcome.value !== 'conflict') return outcome;
  }
  return ok('conflict');
};
