import { z } from 'zod';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { memberSchema } from './member';
import type { JsonValue } from './partitionHandler';

/** Format of the heads that this version writes, and the newest that it reads. */
export const HEAD_FORMAT_VERSION = 1;

/** Reference to a text that is stored in parts under keys of its own. */
export const bulkReferenceSchema = z.object({
  /** Common prefix of the keys of the parts, without the number of the part. */
  key: z.string().min(1),
  parts: z.number().int().positive(),
  /** Length of the complete text, in UTF-16 code units. */
  length: z.number().int().nonnegative(),
});

/** Value of a partition's key: its owner, and the head of its journal. */
export const partitionHeadSchema = z.object({
  formatVersion: z.literal(HEAD_FORMAT_VERSION),
  /** Fencing number; increases with each claim. */
  epoch: z.number().int().positive(),
  owner: memberSchema,
  /** Peers that decide during an outage of the store whether the owner may continue. */
  witnesses: z.array(memberSchema),
  /** Unique for each commit; reveals whether a commit of unknown outcome took effect. */
  commitId: z.string().min(1),
  /** Number of records committed since the start of the journal. */
  recordCount: z.number().int().nonnegative(),
  snapshot: bulkReferenceSchema.optional(),
  segments: z.array(bulkReferenceSchema),
  inlineRecords: z.array(z.custom<JsonValue>((value) => value !== undefined)),
  /**
   * Last serving epoch; its witnesses are those in this head, and may store deferred records of it.
   */
  servedEpoch: z.number().int().positive(),
  /** Whether the owner handed the partition over, with all its records committed. */
  handedOver: z.boolean(),
});

export type BulkReference = z.infer<typeof bulkReferenceSchema>;
export type PartitionHead = z.infer<typeof partitionHeadSchema>;

/** Reason why a partition's key cannot be parsed; the key remains unchanged. */
export type HeadError =
  | { readonly kind: 'corrupt-head'; readonly detail: string }
  | { readonly kind: 'newer-format'; readonly detail: string };

/** Returns the key of a partition's head. */
export const headKey = (partition: number): string => `partitions/${partition}`;

const versionSchema = z.object({ formatVersion: z.number().int() });

const parseJson = (text: string): Result<unknown, HeadError> => {
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err({ kind: 'corrupt-head', detail: `the head is not valid JSON: ${String(error)}` });
  }
};

/** Parses the value of a partition's key; distinguishes a newer format from a corrupt value. */
export const parseHead = (text: string): Result<PartitionHead, HeadError> =>
  parseJson(text).andThen((value): Result<PartitionHead, HeadError> => {
    const version = versionSchema.safeParse(value);
    if (version.success && version.data.formatVersion > HEAD_FORMAT_VERSION) {
      const detail = `the head has format version ${version.data.formatVersion}, newer than ${HEAD_FORMAT_VERSION}`;
      return err({ kind: 'newer-format', detail });
    }
    const head = partitionHeadSchema.safeParse(value);
    if (head.success) return ok(head.data);
    return err({ kind: 'corrupt-head', detail: z.prettifyError(head.error) });
  });
