import { createHash } from 'node:crypto';
import type { Declaration } from '../schemas/declaration';

const SPLIT_BYTES = 64 * 1024;
const HASHED_BITS = 32;

/** Objects that go into one chunk, with the bits that their hashed names share. */
export interface ChunkContent {
  readonly prefix: string;
  readonly objects: readonly Declaration[];
}

interface HashedObject {
  readonly object: Declaration;
  readonly bits: string;
  readonly bytes: number;
}

const bitsOf = (name: string): string =>
  createHash('sha256').update(name).digest().readUInt32BE(0).toString(2).padStart(HASHED_BITS, '0');

const split = (prefix: string, objects: readonly HashedObject[]): ChunkContent[] => {
  if (objects.length === 0) return [];
  const bytes = objects.reduce((sum, object) => sum + object.bytes, 0);
  if (bytes <= SPLIT_BYTES || objects.length === 1 || prefix.length === HASHED_BITS) {
    return [{ prefix, objects: objects.map(({ object }) => object) }];
  }
  return ['0', '1'].flatMap((bit) =>
    split(
      prefix + bit,
      objects.filter((object) => object.bits[prefix.length] === bit),
    ),
  );
};

/**
 * Splits objects of one kind by the leading bits of their hashed names, until each part is short
 * enough. The result depends on the objects alone, so a small change alters one part, or two where
 * it makes a part split or join.
 */
export const splitIntoChunks = (objects: readonly Declaration[]): ChunkContent[] =>
  split(
    '',
    objects.map((object) => ({
      object,
      bits: bitsOf(object.name),
      bytes: Buffer.byteLength(JSON.stringify(object)),
    })),
  );
