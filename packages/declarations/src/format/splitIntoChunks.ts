import { createHash } from 'node:crypto';
import type { Declaration } from '../schemas/declaration';

const SPLIT_THRESHOLD_BYTES = 64 * 1024;
const HASHED_BITS = 32;

/** Objects of one chunk, with the common leading bits of their hashed names. */
export interface ChunkContent {
  readonly prefix: string;
  readonly objects: readonly Declaration[];
}

interface HashedObject {
  readonly object: Declaration;
  readonly bits: string;
  readonly bytes: number;
}

const computeNameBits = (name: string): string =>
  createHash('sha256').update(name).digest().readUInt32BE(0).toString(2).padStart(HASHED_BITS, '0');

const splitByBits = (prefix: string, objects: readonly HashedObject[]): ChunkContent[] => {
  if (objects.length === 0) return [];
  const bytes = objects.reduce((sum, object) => sum + object.bytes, 0);
  if (bytes <= SPLIT_THRESHOLD_BYTES || objects.length === 1 || prefix.length === HASHED_BITS) {
    return [{ prefix, objects: objects.map(({ object }) => object) }];
  }
  return ['0', '1'].flatMap((bit) =>
    splitByBits(
      prefix + bit,
      objects.filter((object) => object.bits[prefix.length] === bit),
    ),
  );
};

/**
 * Splits objects of one kind by the leading bits of their hashed names, until each part is small
 * enough. The result depends only on the objects, so a small change alters one part, or two where
 * it causes a part to be split or merged.
 */
export const splitIntoChunks = (objects: readonly Declaration[]): ChunkContent[] =>
  splitByBits(
    '',
    objects.map((object) => ({
      object,
      bits: computeNameBits(object.name),
      bytes: Buffer.byteLength(JSON.stringify(object)),
    })),
  );
