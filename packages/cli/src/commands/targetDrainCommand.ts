import type { Configuration } from '@limpetnotch/declarations';
import { Command, Option } from 'clipanion';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import type { Report } from '../output/report';
import { resolveAuthor } from '../settings/resolveAuthor';
import { editConfiguration } from '../store/editConfiguration';
import { withStore } from '../store/withStore';
import { BaseCommand } from './baseCommand';

const drainTarget = (
  configuration: Configuration,
  name: string,
): Result<Configuration, CommandError> => {
  const spec = configuration.targets.get(name);
  if (!spec) return err({ kind: 'not-applicable', message: `target/${name} is not declared` });
  const targets = new Map([
    ...configuration.targets,
    [name, { ...spec, state: 'leaving' as const }],
  ]);
  return ok({ ...configuration, targets });
};

/** Takes a target out of service. */
export class TargetDrainCommand extends BaseCommand {
  static override paths = [['target', 'drain']];

  static override usage = Command.Usage({
    category: 'Targets',
    description: 'Let a target finish its work and send it no more.',
    details: `
      Publishes a new revision in which the target is leaving. Declare it with state: leaving in the
      folder too, because the next publish of the folder overwrites the state.
    `,
    examples: [['Drain an engine', '$0 target drain engine-3']],
  });

  name = Option.String({ name: 'name' });

  author = Option.String('--author', {
    env: 'LIMPETNOTCH_AUTHOR',
    description: "Name shown to other operators; the user's name by default",
  });

  store = Option.String('--store', {
    env: 'LIMPETNOTCH_STORE',
    description: "Addresses of the platform's store",
  });

  protected override async perform(): Promise<Result<Report, CommandError>> {
    const author = resolveAuthor(this.author, this.context.env);
    if (author.isErr()) return err(author.error);
    return withStore(this.store, async (store) => {
      const published = await editConfiguration(store, author.value, (configuration) =>
        drainTarget(configuration, this.name),
      );
      return published.map(({ revision }) => ({
        data: { revision, target: this.name, state: 'leaving' },
        lines: [`published revision ${revision}; target/${this.name} is leaving`],
      }));
    });
  }
}
