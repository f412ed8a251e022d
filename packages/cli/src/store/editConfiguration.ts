import { ConfigurationPublisher } from '@limpetnotch/declarations';
import type { Configuration, PublishedRevision } from '@limpetnotch/declarations';
import type { KeyValueStore } from '@limpetnotch/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { wrapPublishError } from './wrapPublishError';

const MAXIMUM_ATTEMPTS = 5;

/** Changes a configuration; the error says why it can't be changed this way. */
export type ConfigurationEdit = (
  configuration: Configuration,
) => Result<Configuration, CommandError>;

/**
 * Publishes a change of the current configuration. The change doesn't depend on other objects, so
 * after a conflict it is applied again to the revision that the other operator published.
 */
export const editConfiguration = async (
  store: KeyValueStore,
  author: string,
  edit: ConfigurationEdit,
): Promise<Result<PublishedRevision, CommandError>> => {
  const publisher = new ConfigurationPublisher(store);
  let failure: CommandError = { kind: 'store-unreachable', detail: 'not attempted' };
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    const current = await publisher.read();
    if (current.isErr()) return err(wrapPublishError(current.error));
    const edited = edit(current.value);
    if (edited.isErr()) return err(edited.error);
    const published = await publisher.publish({
      configuration: edited.value,
      baseRevision: current.value.revision,
      author,
    });
    if (published.isOk()) return ok(published.value);
    failure = wrapPublishError(published.error);
    if (published.error.kind !== 'conflict') return err(failure);
  }
  return err(failure);
};
