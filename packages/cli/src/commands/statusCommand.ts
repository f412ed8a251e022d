import { ConfigurationPublisher } from '@limpetnotch/declarations';
import type { KeyValueStore } from '@limpetnotch/store';
import { Command, Option } from 'clipanion';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { readEntryStatus } from '../entry/readEntryStatus';
import { formatStatus } from '../output/formatStatus';
import type { Report } from '../output/report';
import { parseSetting } from '../settings/parseSetting';
import { wrapPublishError } from '../store/wrapPublishError';
import { readInstances } from '../store/readInstances';
import { withStore } from '../store/withStore';
import { BaseCommand } from './baseCommand';

/** Shows the current revision, the instances and the state of entries. */
export class StatusCommand extends BaseCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'Show the current revision, the instances and the state of entries.',
    details: `
      The instances are those that hold a lease in the store. Also queries the state of each entry
      given with --entry; an entry that does not respond is shown with the reason. Exit code 3 when
      the store did not respond.
    `,
    examples: [
      ['Show the instances', '$0 status --store http://10.0.0.5:2379'],
      ['Query entries too', '$0 status --entry http://10.0.0.7:8080,http://10.0.0.8:8080'],
    ],
  });

  store = Option.String('--store', {
    env: 'LIMPETNOTCH_STORE',
    description: "Addresses of the platform's store",
  });

  entry = Option.String('--entry', {
    env: 'LIMPETNOTCH_ENTRY',
    description: 'Addresses of entries',
  });

  operatorToken = Option.String('--operator-token', {
    env: 'LIMPETNOTCH_OPERATOR_TOKEN',
    description: "Secret of the operators' calls",
  });

  protected override async perform(): Promise<Result<Report, CommandError>> {
    const addresses = this.entry === undefined ? ok([]) : parseSetting('entry', this.entry);
    if (addresses.isErr()) return err(addresses.error);
    const token = this.operatorToken;
    const credential = token === undefined ? ok(undefined) : parseSetting('operatorToken', token);
    if (credential.isErr()) return err(credential.error);
    return withStore(this.store, (store) =>
      StatusCommand.#read(store, addresses.value, credential.value),
    );
  }

  static async #read(
    store: KeyValueStore,
    addresses: readonly string[],
    credential: string | undefined,
  ): Promise<Result<Report, CommandError>> {
    const root = await new ConfigurationPublisher(store).readRoot();
    if (root.isErr()) return err(wrapPublishError(root.error));
    const instances = await readInstances(store);
    if (instances.isErr()) return err(instances.error);
    const entries = await Promise.all(
      addresses.map((address) => readEntryStatus(address, credential)),
    );
    return ok({
      data: { configuration: root.value ?? null, instances: instances.value, entries },
      lines: formatStatus(root.value, instances.value, entries),
    });
  }
}
