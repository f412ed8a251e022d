import { resolve } from 'node:path';
import { Cli, Command, Option } from 'clipanion';
import { runSignalSoak } from './signal-soak/runSignalSoak';
import { summariseSoak } from './signal-soak/summariseSoak';
import { writeTraces } from './signal-soak/writeTraces';

const PROGRAM = resolve(__dirname, '../../../target/main.js');

/** `signal-soak`: sends signals drawn from a seed to instances, with stand-ins of the platform. */
class SignalSoakCommandLine extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Signal real instances under traffic, as drawn from a seed',
    examples: [['Two minutes of seed 7', 'npm run signal-soak -- --seed 7 --seconds 120']],
  });

  seed = Option.String('--seed', '1', { description: 'Seed of traffic and faults' });

  seconds = Option.String('--seconds', '120', {
    description: 'Duration of the traffic, in seconds',
  });

  instances = Option.String('--instances', '4', { description: 'Instances of the program' });

  grace = Option.String('--grace', '8', { description: 'Seconds from SIGTERM to SIGKILL' });

  program = Option.String('--program', PROGRAM, { description: 'Script of the program' });

  cuts = Option.Boolean('--cuts', false, {
    description: 'Also cut instances off from all targets, over links of their own',
  });

  logs = Option.String('--logs', { description: 'Folder for the traces of violations' });

  async execute(): Promise<number> {
    const { stdout } = this.context;
    const result = await runSignalSoak({
      seed: Number(this.seed),
      seconds: Number(this.seconds),
      instances: Number(this.instances),
      graceSeconds: Number(this.grace),
      program: this.program,
      hasCuts: this.cuts,
    });
    const { violations } = result;
    violations.forEach(({ check, lifetime, requestId = '', text }) => {
      stdout.write(`VIOLATION seed ${this.seed} ${check} ${lifetime} ${requestId} ${text}\n`);
    });
    summariseSoak(result).forEach((line) => stdout.write(`seed ${this.seed}: ${line}\n`));
    if (violations.length > 0 && this.logs !== undefined) await writeTraces(result, this.logs);
    return violations.length === 0 ? 0 : 1;
  }
}

const cli = new Cli({
  binaryLabel: 'limpetnotch signal-soak',
  binaryName: 'npm run signal-soak --',
});
cli.register(SignalSoakCommandLine);
void cli.runExit(process.argv.slice(2));
