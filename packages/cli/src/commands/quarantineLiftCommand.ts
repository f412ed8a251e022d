import { Command, Option } from 'clipanion';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { CommandError } from '../commandError';
import { sendToAnyEntry } from '../entry/sendToAnyEntry';
import { checkOperatorAccess } from '../entry/entryAccess';
import { createQuarantinedRequestPath } from '../entry/entryPaths';
import type { Report } from '../output/report';
import { BaseCommand } from './baseCommand';

const liftedSchema = z.looseObject({ lifted: z.boolean() });

/** Removes a request from the quarantine, so that it may run again. */
export class QuarantineLiftCommand extends BaseCommand {
  static override paths = [['quarantine', 'lift']];

  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'Allow a quarantined request to run again.',
    examples: [['Lift one', '$0 quarantine lift 5f2c… --entry http://10.0.0.7:8080']],
  });

  digest = Option.String({ name: 'digest' });

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
    const path = createQuarantinedRequestPath(this.digest);
    if (path.isErr()) return err(path.error);
    const lifted = await sendToAnyEntry(access.value.addresses, {
      method: 'DELETE',
      path: path.value,
      credential: access.value.credential,
      schema: liftedSchema,
    });
    return lifted.andThen(({ lifted: isLifted }): Result<Report, CommandError> => {
      if (!isLifted) {
        return err({ kind: 'not-applicable', message: `${this.digest} is not quarantined` });
      }
      return ok({
        data: { requestDigest: this.digest, lifted: true },
        lines: [`${this.digest} may run again`],
      });
    });
  }
}
