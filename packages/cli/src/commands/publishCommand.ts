import { ConfigurationPublisher, diffConfigurations } from '@limpetnotch/declarations';
import type { Configuration, ConfigurationChange } from '@limpetnotch/declarations';
import type { KeyValueStore } from '@limpetnotch/store';
import { Command, Option } from 'clipanion';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { checkFolder } from '../declarations/checkFolder';
import { formatChanges } from '../output/formatChanges';
import type { Report } from '../output/report';
import { resolveAuthor } from '../settings/resolveAuthor';
import { parseSetting } from '../settings/parseSetting';
import { wrapPublishError } from '../store/wrapPublishError';
import { withStore } from '../store/withStore';
import { BaseCommand } from './baseCommand';

/** Warns about keys that stop working because they are no longer declared. */
const describeRemovedKeys = (changes: readonly ConfigurationChange[]): string[] =>
  changes
    .filter(({ change, kind }) => change === 'removed' && kind === 'key')
    .map(({ name }) => `key/${name} is no longer declared and stops working`);

/** Publishes a folder of declarations as the next revision. */
export class PublishCommand extends BaseCommand {
  static override paths = [['publish']];

  static override usage = Command.Usage({
    category: 'Declarations',
    description: 'Publish a folder of declarations as the next revision.',
    details: `
      Checks all declarations of the folder, then replaces the current revision if it is still the
      base. Without --base, the base is the revision that is current when the command starts. Exit
      codes: 0 when published, 1 for faults or a conflict, 2 for wrong usage, 3 when the store did
      not respond; the message then says whether the revision may have been published.
    `,
    examples: [
      ['Publish the first revision', '$0 publish examples/consortium --base 0'],
      ['Publish on top of revision 17', '$0 publish declarations --base 17 --author rana'],
    ],
  });

  folder = Option.String({ name: 'folder' });

  base = Option.String('--base', {
    env: 'LIMPETNOTCH_BASE',
    description: 'Revision that the folder is based on',
  });

  author = Option.String('--author', {
    env: 'LIMPETNOTCH_AUTHOR',
    description: "Name shown to other operators; the user's name by default",
  });

  store = Option.String('--store', {
    env: 'LIMPETNOTCH_STORE',
    description: "Addresses of the platform's store",
  });

  protected override async perform(): Promise<Result<Report, CommandError>> {
    const base = this.base === undefined ? ok(undefined) : parseSetting('base', this.base);
    if (base.isErr()) return err(base.error);
    const author = resolveAuthor(this.author, this.context.env);
    if (author.isErr()) return err(author.error);
    const next = await checkFolder(this.folder);
    if (next.isErr()) return err(next.error);
    return withStore(this.store, (store) =>
      PublishCommand.#publish(store, next.value, base.value, author.value),
    );
  }

  static async #publish(
    store: KeyValueStore,
    configuration: Configuration,
    base: number | undefined,
    author: string,
  ): Promise<Result<Report, CommandError>> {
    const publisher = new ConfigurationPublisher(store);
    const current = await publisher.read();
    if (current.isErr()) return err(wrapPublishError(current.error));
    const baseRevision = base ?? current.value.revision;
    const published = await publisher.publish({ configuration, baseRevision, author });
    if (published.isErr()) return err(wrapPublishError(published.error));
    const changes = diffConfigurations(current.value, configuration);
    const { revision, publishId } = published.value;
    return ok({
      data: { revision, publishId, author, changes },
      lines: [
        ...formatChanges(changes),
        ...describeRemovedKeys(changes),
        `published revision ${revision} by ${author}`,
      ],
    });
  }
}
