import { Command, Option } from 'clipanion';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { sendToAnyEntry } from '../entry/sendToAnyEntry';
import { checkProgramAccess } from '../entry/entryAccess';
import { formatProgram, programSchema } from '../output/formatProgram';
import type { Report } from '../output/report';
import { BaseCommand } from './baseCommand';

/** Shows a program with its budget and its calls. */
export class ProgramShowCommand extends BaseCommand {
  static override paths = [['program', 'show']];

  static override usage = Command.Usage({
    category: 'Programs',
    description: 'Show a program with its budget and its calls.',
    details: `
      Queries an entry with the key of the program's organisation, or with the operators' token and
      --organisation. A program of another organisation looks like one that does not exist.
    `,
    examples: [
      ['Show a program', '$0 program show survey-17 --entry http://10.0.0.7:8080'],
      ['Show it as an operator', '$0 program show survey-17 --organisation amman-panels'],
    ],
  });

  program = Option.String({ name: 'program' });

  organisation = Option.String('--organisation', {
    description: "Organisation of the program; needed with the operators' token",
  });

  entry = Option.String('--entry', {
    env: 'LIMPETNOTCH_ENTRY',
    description: 'Addresses of entries; the first that responds is used',
  });

  key = Option.String('--key', { env: 'LIMPETNOTCH_KEY', description: "Caller's key" });

  operatorToken = Option.String('--operator-token', {
    env: 'LIMPETNOTCH_OPERATOR_TOKEN',
    description: "Secret of the operators' calls",
  });

  protected override async perform(): Promise<Result<Report, CommandError>> {
    const { program: name, organisation, entry, key, operatorToken } = this;
    const access = checkProgramAccess({ program: name, organisation, entry, key, operatorToken });
    if (access.isErr()) return err(access.error);
    const program = await sendToAnyEntry(access.value.addresses, {
      method: 'GET',
      path: access.value.path,
      credential: access.value.credential,
      schema: programSchema,
    });
    return program.map((shown) => ({ data: shown, lines: formatProgram(shown) }));
  }
}
