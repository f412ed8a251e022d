import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { changeConfiguration } from '../changeConfiguration';
import type { Configuration } from '../configuration';
import type { Declaration } from '../schemas/declaration';
import type { Chunk } from './chunk';
import { countDeclarations } from './countDeclarations';
import type { FormatError } from './formatError';

/** A configuration with the chunks that it was put together from, by digest. */
export interface AssembledConfiguration {
  readonly configuration: Configuration;
  readonly chunks: ReadonlyMap<string, Chunk>;
}

const objectsMissingIn = (
  chunks: ReadonlyMap<string, Chunk>,
  other: ReadonlyMap<string, Chunk>,
): Declaration[] =>
  [...chunks].flatMap(([digest, { objects }]) => (other.has(digest) ? [] : objects));

/** Puts the chunks of a revision together, given another one that shares most chunks with it. */
export const reassembleConfiguration = (
  revision: number,
  chunks: ReadonlyMap<string, Chunk>,
  previous: AssembledConfiguration,
): Result<Configuration, FormatError> => {
  const removed = objectsMissingIn(previous.chunks, chunks);
  const added = objectsMissingIn(chunks, previous.chunks);
  const configuration = changeConfiguration(previous.configuration, revision, { removed, added });
  const expected = countDeclarations(previous.configuration) - removed.length + added.length;
  if (countDeclarations(configuration) === expected) return ok(configuration);
  const detail = 'a name stands in it twice';
  return err({ kind: 'corrupt', value: `configuration ${revision}`, detail });
};
