import { ConfigurationPublisher } from '@limpetnotch/declarations';
import { Command, Option } from 'clipanion';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import type { Report } from '../output/report';
import { resolveAuthor } from '../settings/resolveAuthor';
import { parseSetting } from '../settings/parseSetting';
import { wrapPublishError } from '../store/wrapPublishError';
import { withStore } from '../store/withStore';
import { BaseCommand } from './baseCommand';

/** Publishes the content of an earlier revision again. */
export class RollbackCommand extends BaseCommand {
  static override paths = [['rollback']];

  static override usage = Command.Usage({
    category: 'Declarations',
    description: 'Publish the content of an earlier revision as a new one.',
    details: `
      Keys keep their current state: a withdrawn key stays withdrawn, and a key issued since then
      continues to work unless its organisation no longer exists. The last 256 revisions are kept.
    `,
    examples: [['Go back to revision 16', '$0 rollback 16 --author rana']],
  });

  revision = Option.String({ name: 'revision' });

  author = Option.String('--author', {
    env: 'LIMPETNOTCH_AUTHOR',
    description: "Name shown to other operators; the user's name by default",
  });

  store = Option.String('--store', {
    env: 'LIMPETNOTCH_STORE',
    description: "Addresses of the platform's store",
  });

  protected override async perform(): Promise<Result<Report, CommandError>> {
    const revision = parseSetting('revision', this.revision);
    if (revision.isErr()) return err(revision.error);
    const author = resolveAuthor(this.author, this.context.env);
    if (author.isErr()) return err(author.error);
    return withStore(this.store, async (store) => {
      const publisher = new ConfigurationPublisher(store);
      const published = await publisher.rollback(revision.value, author.value);
      if (published.isErr()) return err(wrapPublishError(published.error));
      const { revision: next, publishId } = published.value;
      return ok({
        data: { revision: next, publishId, rollbackOf: revision.value, author: author.value },
        lines: [`published revision ${next} with the content of revision ${revision.value}`],
      });
    });
  }
}
