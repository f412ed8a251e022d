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

const withdrawKey = (
  configuration: Configuration,
  name: string,
): Result<Configuration, CommandError> => {
  const spec = configuration.keys.get(name);
  if (!spec) return err({ kind: 'not-applicable', message: `key/${name} is not declared` });
  const keys = new Map([...configuration.keys, [name, { ...spec, state: 'withdrawn' as const }]]);
  return ok({ ...configuration, keys });
};

/** Withdraws a key. */
export class KeyWithdrawCommand extends BaseCommand {
  static override paths = [['key', 'withdraw']];

  static override usage = Command.Usage({
    category: 'Keys',
    description: 'Withdraw a key permanently.',
    details: `
      Publishes a new revision in which the key is withdrawn. Instances reject new requests with it
      and cut off its open streams within seconds. Declare it with state: withdrawn in the folder
      too; a publish that would make it active again is rejected.
    `,
    examples: [['Withdraw a key', '$0 key withdraw amman-panels-2026']],
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
        withdrawKey(configuration, this.name),
      );
      return published.map(({ revision }) => ({
        data: { revision, key: this.name, state: 'withdrawn' },
        lines: [`published revision ${revision}; key/${this.name} is withdrawn`],
      }));
    });
  }
}
