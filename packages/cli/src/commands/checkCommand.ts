import { Command, Option } from 'clipanion';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { checkFolder } from '../declarations/checkFolder';
import { countObjects } from '../declarations/countObjects';
import { formatTable } from '../output/formatTable';
import type { Report } from '../output/report';
import { BaseCommand } from './baseCommand';

/** Checks all declarations of a folder, including references between them. */
export class CheckCommand extends BaseCommand {
  static override paths = [['check']];

  static override usage = Command.Usage({
    category: 'Declarations',
    description: 'Check all declarations of a folder.',
    details: `
      Reads every .yaml and .yml file under the folder and reports all faults at once, each with its
      file, line, object and cure. Exit codes: 0 without faults, 1 with faults, 2 for wrong usage.
    `,
    examples: [['Check a folder', '$0 check examples/consortium']],
  });

  folder = Option.String({ name: 'folder' });

  protected override async perform(): Promise<Result<Report, CommandError>> {
    return (await checkFolder(this.folder)).map((configuration) => {
      const counts = countObjects(configuration);
      const rows = counts.map(({ kind, count }) => [kind, String(count)]);
      return {
        data: { faults: [], objects: counts },
        lines: [...formatTable(['KIND', 'OBJECTS'], rows), 'no faults'],
      };
    });
  }
}
