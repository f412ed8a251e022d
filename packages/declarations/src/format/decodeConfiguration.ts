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
import { computeDigest } from './computeDigest';
import type { FormatError } from './formatError';

const verifyDigest = (name: string, digest: string, value: string): Result<string, FormatError> =>
  computeDigest(value) === digest
    ? ok(value)
    : err({ kind: 'corrupt', value: name, detail: 'its digest does not match its content' });

/** Decodes the root value. */
export const decodeRoot = (value: string): Result<ConfigurationRoot, FormatError> =>
  decodeValue(configurationRootSchema, 'the configuration root', value);

/** Verifies the digest of an index of chunks and decodes it. */
export const decodeIndex = (digest: string, value: string): Result<ChunkIndex, FormatError> => {
  const name = `index ${digest}`;
  return verifyDigest(name, digest, value).andThen((text) =>
    decodeValue(chunkIndexSchema, name, text),
  );
};

/** Verifies the digest of a chunk and decodes it. */
export const decodeChunk = (digest: string, value: string): Result<Chunk, FormatError> => {
  const name = `chunk ${digest}`;
  return verifyDigest(name, digest, value).andThen((text) => decodeValue(chunkSchema, name, text));
};

/** Builds a configuration from all chunks of a revision; fails where a name is not unique. */
export const assembleConfiguration = (
  revision: number,
  chunks: readonly Chunk[],
): Result<Configuration, FormatError> => {
  const declarations = chunks.flatMap(({ objects }) => objects);
  const configuration = buildConfiguration(revision, declarations);
  if (countDeclarations(configuration) === declarations.length) return ok(configuration);
  const detail = 'it contains two objects with the same kind and name';
  return err({ kind: 'corrupt', value: `configuration ${revision}`, detail });
};

/** Decodes a complete configuration from its root and the stored values by digest. */
export const decodeConfiguration = (
  root: ConfigurationRoot,
  values: ReadonlyMap<string, string>,
): Result<Configuration, FormatError> => {
  const findValue = (digest: string): Result<string, FormatError> => {
    const value = values.get(digest);
    return value === undefined
      ? err({ kind: 'missing-value', value: `value ${digest}` })
      : ok(value);
  };
  return findValue(root.index)
    .andThen((value) => decodeIndex(root.index, value))
    .andThen(({ chunks }) =>
      Result.combine(
        chunks.map(({ digest }) =>
          findValue(digest).andThen((value) => decodeChunk(digest, value)),
        ),
      ),
    )
    .andThen((chunks) => assembleConfiguration(root.revision, chunks));
};
