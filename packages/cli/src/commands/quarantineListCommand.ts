import { Command, Option } from 'clipanion';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { CommandError } from '../commandError';
import { sendToAnyEntry } from '../entry/sendToAnyEntry';
import { checkOperatorAccess } from '../entry/entryAccess';
import { QUARANTINE_PATH } from '../entry/entryPaths';
import { formatTable } from '../output/formatTable';
import type { Report } from '../output/report';
import { BaseCommand } from './baseCommand';

const quarantineSchema = z.array(
  z.looseObject({
    requestDigest: z.string(),
    organisation: z.string(),
    route: z.string(),
    crashes: z.array(z.looseObject({ target: z.string(), atMilliseconds: z.number() })),
    expiresAtMilliseconds: z.number(),
  }),
);

/** Lists the requests that are rejected because targets crashed while running them. */
export class QuarantineListCommand extends BaseCommand {
  static override paths = [['quarantine', 'list']];

  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'List the requests that crashed targets and are now rejected.',
    examples: [['List them', '$0 quarantine list --entry http://10.0.0.7:8080']],
  });

  entry = Option.String('--entry', {
    env: 'LIMPETNOTCH_ENTRY',
    description: 'Addresses of entries; the first that responds is used',
  });

  operatorToken = Option.String('--operator-token', {
    env: 'LIMPETNOTCH_OPERATOR_TOKEN',
    description: "Secret of the operators' calls",
  });

  protected override async perform(): Promise<Result<Report, CommandError>> {
    const access = checkOperatorAccess({ entry: this.entry, operatorToken: this.operatorToken });
    if (access.isErr()) return err(access.error);
    const listed = await sendToAnyEntry(access.value.addresses, {
      method: 'GET',
      path: QUARANTINE_PATH,
      credential: access.value.credential,
      schema: quarantineSchema,
    });
    return listed.map((entries) => ({
      data: entries,
      lines: formatTable(
        ['DIGEST', 'ORGANISATION', 'ROUTE', 'CRASHED', 'UNTIL'],
        entries.map((entry) => [
          entry.requestDigest,
          entry.organisation,
          entry.route,
          entry.crashes.map(({ target }) => target).join(', '),
          new Date(entry.expiresAtMilliseconds).toISOString(),
        ]),
      ),
    }));
  }
}
