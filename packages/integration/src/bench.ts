import { Builtins, Cli } from 'clipanion';
import { BENCH_COMMANDS } from './benchCommands';

/** Entry point of `npm run bench -- <name>`. */
const cli = new Cli({ binaryName: 'npm run bench --', binaryLabel: 'limpetnotch benches' });
cli.register(Builtins.HelpCommand);
BENCH_COMMANDS.forEach((command) => {
  cli.register(command);
});
void cli.runExit(process.argv.slice(2));
