import 'reflect-metadata';
import type { ProcessSignals } from '@limpetnotch/supervision';
import { Builtins, Cli } from 'clipanion';
import type { ServerContext } from './commands/serveCommand';
import { ServeCommand } from './commands/serveCommand';

const cli = new Cli<ServerContext>({
  binaryLabel: 'limpetnotchd',
  binaryName: 'limpetnotchd',
  binaryVersion: '0.1.0',
});
cli.register(ServeCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);

/** Runs a command; resolves to the exit code of the process. */
export const runCli = (args: readonly string[], signals: ProcessSignals): Promise<number> =>
  cli.run([...args], { ...Cli.defaultContext, signals });
