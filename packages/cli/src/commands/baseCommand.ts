import { Command, Option } from 'clipanion';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { describeCommandError } from '../describeCommandError';
import { EXIT_CODE } from '../exitCode';
import type { ExitCode } from '../exitCode';
import { exitCodeOf } from '../exitCodeOf';
import type { Report } from '../output/report';

/** A command that produces a report or an error, and prints it as tables or as JSON. */
export abstract class BaseCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'Print one JSON value' });

  override async execute(): Promise<ExitCode> {
    const result = await this.perform();
    if (result.isOk()) {
      this.#print(result.value);
      return EXIT_CODE.done;
    }
    this.#printError(result.error);
    return exitCodeOf(result.error);
  }

  /** Runs the command; its report or error is printed by {@link execute}. */
  protected abstract perform(): Promise<Result<Report, CommandError>>;

  #print({ data, lines }: Report): void {
    const text = this.json ? JSON.stringify(data, undefined, 2) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
  }

  #printError(error: CommandError): void {
    const lines = describeCommandError(error);
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify({ error, messages: lines }, undefined, 2)}\n`);
    }
    lines.forEach((line) => this.context.stderr.write(`${line}\n`));
  }
}
