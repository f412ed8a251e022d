import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Configuration } from '../configuration';
import type { Chunk } from '../format/chunk';
import type { ConfigurationRoot } from '../format/configurationRoot';
import { assembleConfiguration, decodeChunk, decodeIndex } from '../format/decodeConfiguration';
import type { FormatError } from '../format/formatError';
import { reassembleConfiguration } from '../format/reassembleConfiguration';
import type { ChunkSource, SourceError } from './chunkSource';
import { inParallel } from './inParallel';
import { withDeadline } from './withDeadline';

const READ_DEADLINE_MILLISECONDS = 1_000;

/** A revision with all that it was put together from. */
export interface LoadedRevision {
  readonly root: ConfigurationRoot;
  readonly configuration: Configuration;
  /** Chunks by digest, in the order of the index. */
  readonly chunks: ReadonlyMap<string, Chunk>;
  /** Value of the index. */
  readonly index: string;
}

/** Why a revision could not be loaded. */
export type LoadError = FormatError | SourceError;

/** Reads a value from the first source that has a valid one. */
const readFrom = async <Value>(
  sources: readonly ChunkSource[],
  digest: string,
  decode: (value: string) => Result<Value, FormatError>,
): Promise<Result<Value, LoadError>> => {
  let failure: LoadError = { kind: 'missing-value', value: `value ${digest}` };
  for (const source of sources) {
    const read = await withDeadline(source.readValue(digest), READ_DEADLINE_MILLISECONDS);
    if (!read) {
      failure = { kind: 'source-unreachable', detail: 'no answer within the deadline' };
    } else if (read.isErr()) {
      failure = read.error;
    } else if (read.value !== undefined) {
      const decoded = decode(read.value);
      if (decoded.isOk()) return ok(decoded.value);
      failure = decoded.error;
    }
  }
  return err(failure);
};

/** Loads the revision of a root; reads only the chunks that the revision before doesn't have. */
export const loadRevision = async (
  root: ConfigurationRoot,
  sources: readonly ChunkSource[],
  before: LoadedRevision | undefined,
): Promise<Result<LoadedRevision, LoadError>> => {
  const index = await readFrom(sources, root.index, (value) =>
    decodeIndex(root.index, value).map(({ chunks }) => ({ value, chunks })),
  );
  if (index.isErr()) return err(index.error);
  const digests = index.value.chunks.map(({ digest }) => digest);
  const read = await inParallel(digests, async (digest): Promise<Result<Chunk, LoadError>> => {
    const known = before?.chunks.get(digest);
    return known ? ok(known) : readFrom(sources, digest, (value) => decodeChunk(digest, value));
  });
  if (read.isErr()) return err(read.error);
  const chunks = new Map(
    read.value.map((chunk, position): [string, Chunk] => [digests[position] ?? '', chunk]),
  );
  const assembled = before
    ? reassembleConfiguration(root.revision, chunks, before)
    : assembleConfiguration(root.revision, read.value);
  return assembled.map((configuration) => ({
    root,
    configuration,
    chunks,
    index: index.value.value,
  }));
};
