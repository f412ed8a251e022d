import { ConfigurationPublisher, diffConfigurations } from '@limpetnotch/declarations';
import { Command, Option } from 'clipanion';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { checkFolder } from '../declarations/checkFolder';
import { formatChanges } from '../output/formatChanges';
import type { Report } from '../output/report';
import { wrapPublishError } from '../store/wrapPublishError';
import { withStore } from '../store/withStore';
import { BaseCommand } from './baseCommand';

/** Shows what publishing a folder would change. */
export class DiffCommand extends BaseCommand {
  static override paths = [['diff']];

  static override usage = Command.Usage({
    category: 'Declarations',
    description: 'Show what publishing a folder would change.',
    details: 'Checks the folder and compares it with the current revision. Publishes nothing.',
    examples: [['Compare a folder', '$0 diff examples/consortium --store http://10.0.0.5:2379']],
  });

  folder = Option.String({ name: 'folder' });

  store = Option.String('--store', {
    env: 'LIMPETNOTCH_STORE',
    description: "Addresses of the platform's store",
  });

  protected override async perform(): Promise<Result<Report, CommandError>> {
    const next = await checkFolder(this.folder);
    if (next.isErr()) return err(next.error);
    return withStore(this.store, async (store) => {
      const current = await new ConfigurationPublisher(store).read();
      if (current.isErr()) return err(wrapPublishError(current.error));
      const { revision } = current.value;
      const changes = diffConfigurations(current.value, next.value);
      return ok({
        data: { revision, changes },
        lines: [...formatChanges(changes), `${changes.length} changes from revision ${revision}`],
      });
    });
  }
}
