import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { changeConfiguration } from '../changeConfiguration';
import type { Configuration } from '../configuration';
import type { Declaration } from '../schemas/declaration';
import type { Chunk } from './chunk';
import { countDeclarations } from './countDeclarations';
import type { FormatError } from './formatError';

/** A configuration with the chunks that it was built from, by digest. */
export interface AssembledConfiguration {
  readonly configuration: Configuration;
  readonly chunks: ReadonlyMap<string, Chunk>;
}

const findObjectsMissingIn = (
  chunks: ReadonlyMap<string, Chunk>,
  other: ReadonlyMap<string, Chunk>,
): Declaration[] =>
  [...chunks].flatMap(([digest, { objects }]) => (other.has(digest) ? [] : objects));

/** Builds a configuration from its chunks and a previous one that shares most of them. */
export const reassembleConfiguration = (
  revision: number,
  chunks: ReadonlyMap<string, Chunk>,
  previous: AssembledConfiguration,
): Result<Configuration, FormatError> => {
  const removed = findObjectsMissingIn(previous.chunks, chunks);
  const added = findObjectsMissingIn(chunks, previous.chunks);
  const configuration = changeConfiguration(previous.configuration, revision, { removed, added });
  const expected = countDeclarations(previous.configuration) - removed.length + added.length;
  if (countDeclarations(configuration) === expected) return ok(configuration);
  const detail = 'it contains two objects with the same kind and name';
  return err({ kind: 'corrupt', value: `configuration ${revision}`, detail });
};
