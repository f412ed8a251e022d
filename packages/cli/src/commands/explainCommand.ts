import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { Command, Option } from 'clipanion';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { CommandError } from '../commandError';
import { explainRequest } from '../explain/explainRequest';
import { formatExplanation } from '../explain/formatExplanation';
import type { LogLine } from '../explain/logLine';
import { parseLogLine } from '../explain/logLine';
import type { Report } from '../output/report';
import { BaseCommand } from './baseCommand';

const readLogLines = async (source: Readable): Promise<readonly LogLine[]> => {
  const lines: LogLine[] = [];
  for await (const text of createInterface({ input: source, crlfDelay: Infinity })) {
    const line = parseLogLine(text);
    if (line) lines.push(line);
  }
  return lines;
};

/** Explains from logs what happened to a request or a program, and why. */
export class ExplainCommand extends BaseCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Explain from logs what happened to a request or a program, and why.',
    details: `
      Reads the logs of all instances from files, or from standard input, in any order; text before
      a line's JSON is skipped. Prints the lines that name the request or the program, the state
      known to the instance at the last of them, and the cause.
    `,
    examples: [
      ['Explain a failed request', '$0 explain 9c41d07be2a35f68 entry-1.log entry-2.log'],
      ['Explain a program', 'cat *.log | $0 explain 3fa81c'],
    ],
  });

  id = Option.String({ name: 'id' });

  files = Option.Rest({ name: 'file' });

  protected override async perform(): Promise<Result<Report, CommandError>> {
    const lines: LogLine[] = [];
    try {
      const sources = this.files.map((file) => createReadStream(file, 'utf8'));
      for (const source of sources.length > 0 ? sources : [this.context.stdin]) {
        lines.push(...(await readLogLines(source)));
      }
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return err({ kind: 'wrong-usage', messages: [`the logs can't be read: ${detail}`] });
    }
    const explanation = explainRequest(lines, this.id);
    if (explanation.lines.length === 0) {
      return err({ kind: 'not-applicable', message: `no line of the logs names ${this.id}` });
    }
    return ok({ data: explanation, lines: formatExplanation(explanation) });
  }
}
