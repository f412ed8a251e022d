import { Command, Option } from 'clipanion';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { CommandError } from '../commandError';
import { sendToAnyEntry } from '../entry/sendToAnyEntry';
import { checkProgramAccess } from '../entry/entryAccess';
import type { Report } from '../output/report';
import { BaseCommand } from './baseCommand';

/** Ends a program and its sub-agents. */
export class ProgramEndCommand extends BaseCommand {
  static override paths = [['program', 'end']];

  static override usage = Command.Usage({
    category: 'Programs',
    description: 'End a program and its sub-agents.',
    details: `
      Cuts off its running calls, frees its engine memory and keeps its history. Ending a program
      twice is not an error.
    `,
    examples: [
      ['End a program', '$0 program end survey-17 --entry http://10.0.0.7:8080'],
      ['End it as an operator', '$0 program end survey-17 --organisation amman-panels'],
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
    const { program, organisation, entry, key, operatorToken } = this;
    const access = checkProgramAccess({ program, organisation, entry, key, operatorToken });
    if (access.isErr()) return err(access.error);
    const ended = await sendToAnyEntry(access.value.addresses, {
      method: 'DELETE',
      path: access.value.path,
      credential: access.value.credential,
      schema: z.unknown(),
    });
    return ended.map(() => ({
      data: { program, ended: true },
      lines: [`program ${program} has ended`],
    }));
  }
}
