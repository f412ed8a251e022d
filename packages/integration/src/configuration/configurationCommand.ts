import { Command, Option, UsageError } from 'clipanion';
import { z } from 'zod';
import type { ConfigurationFigures } from './configurationFigures';
import { configurationSlopes } from './configurationSlopes';
import { measureConfiguration } from './measureConfiguration';

const FORCE_GOAL_MILLISECONDS = 3_000;
const MAXIMUM_VALUE_BYTES = 1_000_000;

const sizeSchema = z
  .string()
  .regex(/^\d+:\d+$/)
  .transform((text) => text.split(':').map(Number))
  .pipe(z.tuple([z.number().int().min(1), z.number().int().min(2)]));

const meetsGoals = (figures: ConfigurationFigures): boolean =>
  figures.largestValueBytes < MAXIMUM_VALUE_BYTES &&
  figures.forceMilliseconds < FORCE_GOAL_MILLISECONDS &&
  figures.silentForceMilliseconds < FORCE_GOAL_MILLISECONDS;

/** `bench configuration`: cost of configurations by size, and time until they are in force. */
export class ConfigurationCommand extends Command {
  static override paths = [['configuration']];

  static override usage = Command.Usage({
    description: 'Measures how publishing and following of configurations depend on their size.',
    examples: [
      ['At the usual sizes', 'npm run bench -- configuration'],
      ['At one size', 'npm run bench -- configuration --sizes 16000:50000'],
    ],
  });

  readonly sizes = Option.String('--sizes', '8:8,1600:5000,8000:25000,16000:50000', {
    description: 'pairs of organisations:keys, separated by commas',
  });

  async execute(): Promise<number> {
    const sizes = z.array(sizeSchema).min(1).safeParse(this.sizes.split(','));
    if (!sizes.success) {
      throw new UsageError(
        `--sizes is ${this.sizes}: must be pairs of organisations:keys, separated by commas`,
      );
    }
    const points: ConfigurationFigures[] = [];
    for (const [organisations, keys] of sizes.data) {
      points.push(await measureConfiguration(organisations, keys));
    }
    const slopesPerThousandKeys = configurationSlopes(points);
    const goalsMet = points.every(meetsGoals);
    const report = { points, slopesPerThousandKeys, goalsMet };
    this.context.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`);
    return goalsMet ? 0 : 1;
  }
}
