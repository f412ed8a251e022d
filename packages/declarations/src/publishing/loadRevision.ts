import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Configuration } from '../configuration';
import type { Chunk } from '../format/chunk';
import type { ConfigurationRoot } from '../format/configurationRoot';
import { assembleConfiguration, decodeChunk, decodeIndex } from '../format/decodeConfiguration';
import type { FormatError } from '../format/formatError';
import { reassembleConfiguration } from '../format/reassembleConfiguration';
import type { ChunkSource, SourceError } from './chunkSource';
import { mapInParallel } from './mapInParallel';
import { withDeadline } from './withDeadline';

const READ_DEADLINE_MILLISECONDS = 1_000;

/** A revision with the values that it was built from. */
export interface LoadedRevision {
  readonly root: ConfigurationRoot;
  readonly configuration: Configuration;
  /** Chunks by digest, in the order of the index. */
  readonly chunks: ReadonlyMap<string, Chunk>;
  /** Encoded index of chunks. */
  readonly index: string;
}

/** Why a revision could not be loaded. */
export type LoadError = FormatError | SourceError;

/** Reads a value from the first source that returns a valid one. */
const readFirstValid = async <Value>(
  sources: readonly ChunkSource[],
  digest: string,
  decode: (value: string) => Result<Value, FormatError>,
): Promise<Result<Value, LoadError>> => {
  let lastError: LoadError = { kind: 'missing-value', value: `value ${digest}` };
  for (const source of sources) {
    const read = await withDeadline(source.readValue(digest), READ_DEADLINE_MILLISECONDS);
    if (!read) {
      lastError = { kind: 'source-unreachable', detail: 'no answer within the deadline' };
    } else if (read.isErr()) {
      lastError = read.error;
    } else if (read.value !== undefined) {
      const decoded = decode(read.value);
      if (decoded.isOk()) return ok(decoded.value);
      lastError = decoded.error;
    }
  }
  return err(lastError);
};

/** Loads the revision of a root; reads only the chunks that the previous revision lacks. */
export const loadRevision = async (
  root: ConfigurationRoot,
  sources: readonly ChunkSource[],
  previous: LoadedRevision | undefined,
): Promise<Result<LoadedRevision, LoadError>> => {
  const index = await readFirstValid(sources, root.index, (value) =>
    decodeIndex(root.index, value).map(({ chunks }) => ({ value, chunks })),
  );
  if (index.isErr()) return err(index.error);
  const digests = index.value.chunks.map(({ digest }) => digest);
  const read = await mapInParallel(digests, async (digest): Promise<Result<Chunk, LoadError>> => {
    const loadedChunk = previous?.chunks.get(digest);
    return loadedChunk
      ? ok(loadedChunk)
      : readFirstValid(sources, digest, (value) => decodeChunk(digest, value));
  });
  if (read.isErr()) return err(read.error);
  const chunks = new Map(
    read.value.map((chunk, position): [string, Chunk] => [digests[position] ?? '', chunk]),
  );
  const assembled = previous
    ? reassembleConfiguration(root.revision, chunks, previous)
    : assembleConfiguration(root.revision, read.value);
  return assembled.map((configuration) => ({
    root,
    configuration,
    chunks,
    index: index.value.value,
  }));
};
