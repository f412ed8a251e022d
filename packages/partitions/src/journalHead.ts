import { randomUUID } from 'node:crypto';
import type { Member } from './member';
import type { BulkReference, PartitionHead } from './partitionHead';
import { HEAD_FORMAT_VERSION } from './partitionHead';

/** A partition's head as its owner holds it: the records are kept as JSON texts. */
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
  /** Epoch that served last. */
  readonly servedEpoch: number;
}

/** Lists the texts that a head refers to. */
export const bulkReferences = ({ snapshot, segments }: JournalHead): readonly BulkReference[] =>
  snapshot ? [snapshot, ...segments] : segments;

/** A head's value in the store, with the identifier by which a lost answer is recognised. */
export interface EncodedHead {
  readonly commitId: string;
  readonly value: string;
}

/** Adds up the bytes of texts in UTF-8. */
export const bytesOf = (texts: readonly string[]): number =>
  texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);

/**
 * Takes a head read from the store over for a claim by a new owner. Unless the previous owner gave
 * the partition up, its witnesses stay in force until they took note of the new one.
 */
export const claimHead = (
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
    inlineBytes: bytesOf(inlineTexts),
    handedOver: false,
  };
};

/** Encodes a head under a new commit identifier, without parsing its records again. */
export const encodeHead = (head: JournalHead): EncodedHead => {
  const commitId = randomUUID();
  const { inlineTexts, inlineBytes, ...rest } = head;
  const fields = JSON.stringify({ formatVersion: HEAD_FORMAT_VERSION, commitId, ...rest });
  const value = `${fields.slice(0, -1)},"inlineRecords":[${inlineTexts.join(',')}]}`;
  return { commitId, value };
};
