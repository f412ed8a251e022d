import type { Configuration } from '@limpetnotch/declarations';
import { Command, Option } from 'clipanion';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { createKey, keyDocument } from '../declarations/issuedKey';
import type { IssuedKey } from '../declarations/issuedKey';
import type { Report } from '../output/report';
import { authorOf } from '../settings/authorOf';
import { editConfiguration } from '../store/editConfiguration';
import { withStore } from '../store/withStore';
import { BaseCommand } from './baseCommand';

const notApplicable = (message: string): CommandError => ({ kind: 'not-applicable', message });

const addKey = (
  configuration: Configuration,
  { name, spec }: IssuedKey,
): Result<Configuration, CommandError> => {
  if (!configuration.organisations.has(spec.organisation)) {
    return err(notApplicable(`organisation/${spec.organisation} is not declared`));
  }
  if (configuration.keys.has(name)) return err(notApplicable(`key/${name} is declared already`));
  return ok({ ...configuration, keys: new Map([...configuration.keys, [name, spec]]) });
};

const reportOf = (key: IssuedKey, revision: number): Report => ({
  data: {
    revision,
    key: key.name,
    organisation: key.spec.organisation,
    secret: key.secret,
    document: keyDocument(key),
  },
  lines: [
    `published revision ${revision} with key/${key.name}`,
    `secret, shown this once: ${key.secret}`,
    '',
    'Declare it in the folder before the next publish:',
    '---',
    keyDocument(key).trimEnd(),
  ],
});

/** Issues a key of an organisation. */
export class KeyIssueCommand extends BaseCommand {
  static override paths = [['key', 'issue']];

  static override usage = Command.Usage({
    category: 'Keys',
    description: 'Issue a key of an organisation and print its secret once.',
    details: `
      Publishes a new revision with the digest of the secret; the secret itself is kept nowhere.
      Also prints the YAML document of the key: add it to the folder, as the next publish of a
      folder without it takes the key away.
    `,
    examples: [
      ['Issue a key', '$0 key issue amman-panels'],
      ['Issue a named key as JSON', '$0 key issue amman-panels --name amman-panels-2027 --json'],
    ],
  });

  organisation = Option.String({ name: 'organisation' });

  name = Option.String('--name', { description: 'Name of the key; made up by default' });

  author = Option.String('--author', {
    env: 'LIMPETNOTCH_AUTHOR',
    description: "Name shown to other operators; the user's name by default",
  });

  store = Option.String('--store', {
    env: 'LIMPETNOTCH_STORE',
    description: "Addresses of the platform's store",
  });

  protected override async perform(): Promise<Result<Report, CommandError>> {
    const author = authorOf(this.author, this.context.env);
    if (author.isErr()) return err(author.error);
    const key = createKey(this.organisation, this.name);
    return withStore(this.store, async (store) => {
      const published = await editConfiguration(store, author.value, (configuration) =>
        addKey(configuration, key),
      );
      return published.map(({ revision }) => reportOf(key, revision));
    });
  }
}
