import { err, ok, Result } from 'neverthrow';
import { buildConfiguration } from '../buildConfiguration';
import type { Configuration } from '../configuration';
import { chunkSchema } from './chunk';
import type { Chunk } from './chunk';
import type { ChunkIndex } from './chunkIndex';
import { chunkIndexSchema } from './chunkIndex';
import type { ConfigurationRoot } from './configurationRoot';
import { configurationRootSchema } from './configurationRoot';
import { countDeclarations } from './countDeclarations';
import { decodeValue } from './decodeValue';
import { digestOf } from './digestOf';
import type { FormatError } from './formatError';

const verified = (name: string, digest: string, value: string): Result<string, FormatError> =>
  digestOf(value) === digest
    ? ok(value)
    : err({ kind: 'corrupt', value: name, detail: 'its digest does not match' });

/** Decodes the root value. */
export const decodeRoot = (value: string): Result<ConfigurationRoot, FormatError> =>
  decodeValue(configurationRootSchema, 'the configuration root', value);

/** Decodes an index of chunks and checks its digest. */
export const decodeIndex = (digest: string, value: string): Result<ChunkIndex, FormatError> => {
  const name = `index ${digest}`;
  return verified(name, digest, value).andThen((text) => decodeValue(chunkIndexSchema, name, text));
};

/** Decodes a chunk and checks its digest. */
export const decodeChunk = (digest: string, value: string): Result<Chunk, FormatError> => {
  const name = `chunk ${digest}`;
  return verified(name, digest, value).andThen((text) => decodeValue(chunkSchema, name, text));
};

/** Puts the decoded chunks of a revision together. */
export const assembleConfiguration = (
  revision: number,
  chunks: readonly Chunk[],
): Result<Configuration, FormatError> => {
  const declarations = chunks.flatMap(({ objects }) => objects);
  const configuration = buildConfiguration(revision, declarations);
  if (countDeclarations(configuration) === declarations.length) return ok(configuration);
  const detail = 'a name stands in it twice';
  return err({ kind: 'corrupt', value: `configuration ${revision}`, detail });
};

/** Decodes a whole configuration from its root and the values under their digests. */
export const decodeConfiguration = (
  root: ConfigurationRoot,
  values: ReadonlyMap<string, string>,
): Result<Configuration, FormatError> => {
  const valueOf = (digest: string): Result<string, FormatError> => {
    const value = values.get(digest);
    return value === undefined
      ? err({ kind: 'missing-value', value: `value ${digest}` })
      : ok(value);
  };
  return valueOf(root.index)
    .andThen((value) => decodeIndex(root.index, value))
    .andThen(({ chunks }) =>
      Result.combine(
        chunks.map(({ digest }) => valueOf(digest).andThen((value) => decodeChunk(digest, value))),
      ),
    )
    .andThen((chunks) => assembleConfiguration(root.revision, chunks));
};
