import 'reflect-metadata';
import { Builtins, Cli } from 'clipanion';
import { ServeCommand } from './commands/serveCommand';

const cli = new Cli({
  binaryLabel: 'limpetnotchd',
  binaryName: 'limpetnotchd',
  binaryVersion: '0.1.0',
});
cli.register(ServeCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);

void cli.runExit(process.argv.slice(2));
