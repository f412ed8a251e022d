import { Builtins, Cli } from 'clipanion';
import { CollectorCommand } from './commands/collectorCommand';
import { EngineCommand } from './commands/engineCommand';
import { StoreCommand } from './commands/storeCommand';
import { ToolsCommand } from './commands/toolsCommand';

/** Entry point of the stand-ins as processes. */
const cli = new Cli({ binaryLabel: 'limpetnotch stand-ins', binaryName: 'stand-ins' });
[Builtins.HelpCommand, CollectorCommand, EngineCommand, StoreCommand, ToolsCommand].forEach(
  (command) => cli.register(command),
);
void cli.runExit(process.argv.slice(2));
