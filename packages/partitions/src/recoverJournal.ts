import { parseJson } from '@limpetnotch/store';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import type { BulkAccess, BulkReadError } from './bulkText';
import { readBulk } from './bulkText';
import type { BulkReference, PartitionHead } from './partitionHead';
import type { JsonValue } from './partitionHandler';
import { mapConcurrently } from './util/mapConcurrently';

const CONCURRENT_READS = 16;

/** Content of a head and of the texts that it refers to. */
export interface RecoveredJournal {
  readonly snapshot: JsonValue | undefined;
  /** Records after the snapshot, oldest first. */
  readonly records: readonly JsonValue[];
}

/** Reason why a journal could not be read; reading changes nothing in the store. */
export type RecoverError =
  BulkReadError | { readonly kind: 'corrupt-text'; readonly detail: string };

const jsonSchema = z.custom<JsonValue>((value) => value !== undefined);
const recordsSchema = z.array(jsonSchema);

const readBulkAs = async <Value>(
  access: BulkAccess,
  reference: BulkReference,
  schema: z.ZodType<Value>,
): Promise<Result<Value, RecoverError>> => {
  const text = await readBulk(access, reference);
  if (text.isErr()) return err(text.error);
  const value = parseJson(schema, text.value);
  if (value !== undefined) return ok(value);
  return err({
    kind: 'corrupt-text',
    detail: `${reference.key} does not have the expected format`,
  });
};

/** Reads the snapshot and all records that a head refers to. */
export const recoverJournal = async (
  access: BulkAccess,
  head: Pick<PartitionHead, 'snapshot' | 'segments' | 'inlineRecords'>,
): Promise<Result<RecoveredJournal, RecoverError>> => {
  let snapshot: JsonValue | undefined;
  if (head.snapshot) {
    const read = await readBulkAs(access, head.snapshot, jsonSchema);
    if (read.isErr()) return err(read.error);
    snapshot = read.value;
  }
  const records: JsonValue[] = [];
  const segments = await mapConcurrently(head.segments, CONCURRENT_READS, (segment) =>
    readBulkAs(access, segment, recordsSchema),
  );
  for (const read of segments) {
    if (read.isErr()) return err(read.error);
    read.value.forEach((record) => records.push(record));
  }
  records.push(...head.inlineRecords);
  return ok({ snapshot, records });
};
