import type { KeyValueStore, StoreError } from '@limpetnotch/store';
import { boundStoreCall } from '@limpetnotch/store';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { BulkReference } from './partitionHead';

/** Largest length of one part, in UTF-16 code units; at most 480 KB in UTF-8. */
const PART_LENGTH = 160_000;
const HIGH_SURROGATE_START = 0xd800;
const HIGH_SURROGATE_END = 0xdbff;

/** Reason why a text that the head refers to could not be read. */
export type BulkReadError = StoreError | { readonly kind: 'missing-part'; readonly detail: string };

const partKey = (key: string, part: number): string => `${key}/${part}`;

/** Lists the keys of the parts of a text. */
export const partKeys = ({ key, parts }: BulkReference): readonly string[] =>
  Array.from({ length: parts }, (_value, part) => partKey(key, part));

/** Splits a text without splitting a surrogate pair, whose halves cannot be encoded in UTF-8. */
export const splitText = (text: string): readonly string[] => {
  const parts: string[] = [];
  let start = 0;
  do {
    let end = Math.min(text.length, start + PART_LENGTH);
    const last = text.charCodeAt(end - 1);
    const cutsPair = last >= HIGH_SURROGATE_START && last <= HIGH_SURROGATE_END;
    if (cutsPair && end < text.length) end -= 1;
    parts.push(text.slice(start, end));
    start = end;
  } while (start < text.length);
  return parts;
};

/** Options of {@link writeBulk} and {@link readBulk}. */
export interface BulkAccess {
  readonly store: KeyValueStore;
  readonly deadlineMilliseconds: number;
  /** Resolves when one more write is allowed. */
  beforeWrite(): Promise<void>;
}

/** Writes a text in parts under a key that nothing else uses; the write is idempotent. */
export const writeBulk = async (
  access: BulkAccess,
  key: string,
  text: string,
): Promise<Result<BulkReference, StoreError>> => {
  const parts = splitText(text);
  for (const [part, value] of parts.entries()) {
    await access.beforeWrite();
    const request = { key: partKey(key, part), expectedRevision: 0, value };
    const swap = access.store.compareAndSwap(request);
    const written = await boundStoreCall(swap, access.deadlineMilliseconds);
    if (written.isErr()) return err(written.error);
    const outcome = written.value;
    if (outcome.kind === 'conflict' && outcome.current?.value !== value) {
      return err({
        kind: 'malformed-answer',
        detail: `${request.key} already holds a different text`,
      });
    }
  }
  return ok({ key, parts: parts.length, length: text.length });
};

/** Reads a text that was written in parts. */
export const readBulk = async (
  access: BulkAccess,
  reference: BulkReference,
): Promise<Result<string, BulkReadError>> => {
  const reads = partKeys(reference).map(async (key) => {
    const entry = await boundStoreCall(access.store.read(key), access.deadlineMilliseconds);
    return { key, entry };
  });
  let text = '';
  for (const { key, entry } of await Promise.all(reads)) {
    if (entry.isErr()) return err(entry.error);
    if (!entry.value) return err({ kind: 'missing-part', detail: `${key} is missing` });
    text += entry.value.value;
  }
  if (text.length === reference.length) return ok(text);
  return err({ kind: 'missing-part', detail: `${reference.key} has ${text.length} characters` });
};
