import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Configuration } from '../configuration';
import { declarationsOf } from '../declarationsOf';
import { declarationKindSchema } from '../schemas/declaration';
import type { Chunk } from './chunk';
import { chunkSchema } from './chunk';
import type { ChunkIndex, ChunkReference } from './chunkIndex';
import { digestOf } from './digestOf';
import type { FormatError } from './formatError';
import { FORMAT_VERSION } from './formatVersion';
import { splitIntoChunks } from './splitIntoChunks';

/** Longest value that is stored; the platform's service holds values up to a megabyte. */
export const MAXIMUM_VALUE_BYTES = 512 * 1024;

/** A configuration as values to store under their digests; the index names the chunks. */
export interface EncodedConfiguration {
  /** Digest of the index. */
  readonly index: string;
  /** Values by digest: the chunks and the index. */
  readonly values: ReadonlyMap<string, string>;
}

const withinLimit = (name: string, value: string): FormatError | undefined => {
  const bytes = Buffer.byteLength(value);
  if (bytes <= MAXIMUM_VALUE_BYTES) return undefined;
  return { kind: 'too-large', value: name, bytes, maximumBytes: MAXIMUM_VALUE_BYTES };
};

/** Encodes a chunk; the schema puts fields in one order, so that equal objects give equal text. */
export const encodeChunk = (objects: Chunk['objects']): string =>
  JSON.stringify(chunkSchema.parse({ formatVersion: FORMAT_VERSION, objects }));

/** Encodes a valid configuration; fails where one object or the index is too long to store. */
export const encodeConfiguration = (
  configuration: Configuration,
): Result<EncodedConfiguration, FormatError> => {
  const values = new Map<string, string>();
  const chunks: ChunkReference[] = [];
  for (const kind of declarationKindSchema.options) {
    for (const content of splitIntoChunks(declarationsOf(configuration, kind))) {
      const value = encodeChunk([...content.objects]);
      const fault = withinLimit(`${kind}/${content.objects[0]?.name ?? ''}`, value);
      if (fault) return err(fault);
      const digest = digestOf(value);
      values.set(digest, value);
      chunks.push({ kind, prefix: content.prefix, digest });
    }
  }
  const index = JSON.stringify({ formatVersion: FORMAT_VERSION, chunks } satisfies ChunkIndex);
  const fault = withinLimit('the index of chunks', index);
  if (fault) return err(fault);
  const indexDigest = digestOf(index);
  values.set(indexDigest, index);
  return ok({ index: indexDigest, values });
};
