import { randomUUID } from 'node:crypto';
import type { Member } from './member';
import type { BulkReference, PartitionHead } from './partitionHead';
import { HEAD_FORMAT_VERSION } from './partitionHead';

/** In-memory form of a partition's head at its owner, with the records as JSON texts. */
export interface JournalHead {
  readonly epoch: number;
  readonly owner: Member;
  readonly witnesses: readonly Member[];
  readonly recordCount: number;
  readonly snapshot: BulkReference | undefined;
  readonly segments: readonly BulkReference[];
  readonly inlineTexts: readonly string[];
  readonly inlineBytes: number;
  readonly handedOver: boolean;
  /** Last epoch whose owner served the partition. */
  readonly servedEpoch: number;
}

/** Lists the references of a head to its snapshot and segments. */
export const listReferences = ({ snapshot, segments }: JournalHead): readonly BulkReference[] =>
  snapshot ? [snapshot, ...segments] : segments;

/**
 * Serialised head, with the commit identifier that reveals whether a write of unknown outcome took
 * effect.
 */
export interface EncodedHead {
  readonly commitId: string;
  readonly value: string;
}

/** Returns the total size of texts in UTF-8, in bytes. */
export const computeByteLength = (texts: readonly string[]): number =>
  texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);

/**
 * Creates the head with which a new owner claims a partition. Unless the previous owner handed the
 * partition over, its witnesses stay in force until they have accepted the new owner.
 */
export const createClaimedHead = (
  previous: PartitionHead | undefined,
  owner: Member,
  witnesses: readonly Member[],
): JournalHead => {
  const inlineTexts = (previous?.inlineRecords ?? []).map((record) => JSON.stringify(record));
  const epoch = (previous?.epoch ?? 0) + 1;
  const unsettled = previous?.handedOver === false ? previous : undefined;
  return {
    epoch,
    owner,
    witnesses: unsettled?.witnesses ?? witnesses,
    servedEpoch: unsettled?.servedEpoch ?? epoch,
    recordCount: previous?.recordCount ?? 0,
    snapshot: previous?.snapshot,
    segments: previous?.segments ?? [],
    inlineTexts,
    inlineBytes: computeByteLength(inlineTexts),
    handedOver: false,
  };
};

/** Serialises a head under a new commit identifier, without parsing its records again. */
export const encodeHead = (head: JournalHead): EncodedHead => {
  const commitId = randomUUID();
  const { inlineTexts, inlineBytes, ...rest } = head;
  const fields = JSON.stringify({ formatVersion: HEAD_FORMAT_VERSION, commitId, ...rest });
  const value = `${fields.slice(0, -1)},"inlineRecords":[${inlineTexts.join(',')}]}`;
  return { commitId, value };
};
