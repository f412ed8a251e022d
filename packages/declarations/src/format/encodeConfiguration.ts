import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Configuration } from '../configuration';
import { listDeclarations } from '../listDeclarations';
import { declarationKindSchema } from '../schemas/declaration';
import type { Chunk } from './chunk';
import { chunkSchema } from './chunk';
import type { ChunkIndex, ChunkReference } from './chunkIndex';
import { computeDigest } from './computeDigest';
import type { FormatError } from './formatError';
import { FORMAT_VERSION } from './formatVersion';
import { splitIntoChunks } from './splitIntoChunks';

/** Maximum size of a stored value; the key-value store accepts values of up to a megabyte. */
export const MAXIMUM_VALUE_BYTES = 512 * 1024;

/** A configuration encoded as values to store by digest; the index lists the chunks. */
export interface EncodedConfiguration {
  /** Digest of the index. */
  readonly index: string;
  /** The chunks and the index, by digest. */
  readonly values: ReadonlyMap<string, string>;
}

const checkSize = (name: string, value: string): FormatError | undefined => {
  const bytes = Buffer.byteLength(value);
  if (bytes <= MAXIMUM_VALUE_BYTES) return undefined;
  return { kind: 'too-large', value: name, bytes, maximumBytes: MAXIMUM_VALUE_BYTES };
};

/**
 * Encodes a chunk; the schema fixes the order of fields, so that equal objects have equal texts.
 */
export const encodeChunk = (objects: Chunk['objects']): string =>
  JSON.stringify(chunkSchema.parse({ formatVersion: FORMAT_VERSION, objects }));

/** Encodes a valid configuration; fails where an object or the index is too large to store. */
export const encodeConfiguration = (
  configuration: Configuration,
): Result<EncodedConfiguration, FormatError> => {
  const values = new Map<string, string>();
  const chunks: ChunkReference[] = [];
  for (const kind of declarationKindSchema.options) {
    for (const content of splitIntoChunks(listDeclarations(configuration, kind))) {
      const value = encodeChunk([...content.objects]);
      const chunkError = checkSize(`${kind}/${content.objects[0]?.name ?? ''}`, value);
      if (chunkError) return err(chunkError);
      const digest = computeDigest(value);
      values.set(digest, value);
      chunks.push({ kind, prefix: content.prefix, digest });
    }
  }
  const index = JSON.stringify({ formatVersion: FORMAT_VERSION, chunks } satisfies ChunkIndex);
  const indexError = checkSize('the index of chunks', index);
  if (indexError) return err(indexError);
  const indexDigest = computeDigest(index);
  values.set(indexDigest, index);
  return ok({ index: indexDigest, values });
};
