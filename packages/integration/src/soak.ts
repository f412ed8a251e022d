import { Cli, Command, Option } from 'clipanion';
import { runSoak } from './soak/runSoak';

/** `soak`: runs programs and faults drawn from a seed, and checks the guarantees from outside. */
class SoakCommandLine extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Run programs and faults drawn from a seed',
    examples: [['Ten minutes of seed 7', 'npm run soak -- --seed 7 --minutes 10']],
  });

  seed = Option.String('--seed', '1', { description: 'Seed of programs and faults' });

  minutes = Option.String('--minutes', '10', {
    description: 'Time during which programs start, in minutes',
  });

  async execute(): Promise<number> {
    const { stdout } = this.context;
    const result = await runSoak({
      seed: Number(this.seed),
      minutes: Number(this.minutes),
      print: (line) => stdout.write(`${line}\n`),
    });
    const { programs, completePrograms, calls, answered, commands, violations } = result;
    stdout.write(
      `seed ${this.seed}: ${programs} programs (${completePrograms} whole), ${calls} calls ` +
        `(${answered} answered), ${commands.length} faults, ${violations.length} promises broken\n`,
    );
    violations.forEach((fault) => stdout.write(`BROKEN ${fault}\n`));
    return violations.length === 0 ? 0 : 1;
  }
}

const cli = new Cli({ binaryLabel: 'limpetnotch soak', binaryName: 'npm run soak --' });
cli.register(SoakCommandLine);
void cli.runExit(process.argv.slice(2));
