import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Configuration } from '../configuration';
import type { ConfigurationRoot } from '../format/configurationRoot';
import { assembleConfiguration } from '../format/decodeConfiguration';
import type { FormatError } from '../format/formatError';
import type { ConfigurationStore } from './configurationStore';
import { mapInParallel } from './mapInParallel';
import type { PublishError } from './publishError';

const toFormatError = (error: FormatError): PublishError => ({ kind: 'format', error });

/** Reads the configuration of a root; the empty one of revision 0 where there is no root. */
export const readConfiguration = async (
  store: ConfigurationStore,
  root: ConfigurationRoot | undefined,
): Promise<Result<Configuration, PublishError>> => {
  if (!root) return assembleConfiguration(0, []).mapErr(toFormatError);
  const index = await store.readIndex(root.index);
  if (index.isErr()) return err(index.error);
  const chunks = await mapInParallel(index.value.chunks, ({ digest }) => store.readChunk(digest));
  return chunks.andThen((read) => assembleConfiguration(root.revision, read).mapErr(toFormatError));
};
