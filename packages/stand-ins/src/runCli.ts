import type { ProcessSignals } from '@limpetnotch/supervision';
import { Builtins, Cli } from 'clipanion';
import { CollectorCommand } from './commands/collectorCommand';
import { EngineCommand } from './commands/engineCommand';
import type { StandInContext } from './commands/standInCommand';
import { StoreCommand } from './commands/storeCommand';
import { ToolsCommand } from './commands/toolsCommand';

const cli = new Cli<StandInContext>({
  binaryLabel: 'limpetnotch stand-ins',
  binaryName: 'stand-ins',
});
[Builtins.HelpCommand, CollectorCommand, EngineCommand, StoreCommand, ToolsCommand].forEach(
  (command) => cli.register(command),
);

/** Runs a command; resolves to the exit code of the process. */
export const runCli = (words: readonly string[], signals: ProcessSignals): Promise<number> =>
  cli.run([...words], { ...Cli.defaultContext, signals });
