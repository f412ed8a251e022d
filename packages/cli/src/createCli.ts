import { Builtins, Cli } from 'clipanion';
import { CheckCommand } from './commands/checkCommand';
import { DiffCommand } from './commands/diffCommand';
import { ExplainCommand } from './commands/explainCommand';
import { KeyIssueCommand } from './commands/keyIssueCommand';
import { KeyWithdrawCommand } from './commands/keyWithdrawCommand';
import { ProgramEndCommand } from './commands/programEndCommand';
import { ProgramShowCommand } from './commands/programShowCommand';
import { PublishCommand } from './commands/publishCommand';
import { QuarantineLiftCommand } from './commands/quarantineLiftCommand';
import { QuarantineListCommand } from './commands/quarantineListCommand';
import { RollbackCommand } from './commands/rollbackCommand';
import { StatusCommand } from './commands/statusCommand';
import { TargetDrainCommand } from './commands/targetDrainCommand';

const COMMANDS = [
  CheckCommand,
  DiffCommand,
  PublishCommand,
  RollbackCommand,
  KeyIssueCommand,
  KeyWithdrawCommand,
  StatusCommand,
  ProgramShowCommand,
  ProgramEndCommand,
  TargetDrainCommand,
  QuarantineListCommand,
  QuarantineLiftCommand,
  ExplainCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

/** Creates the command line with all commands. */
export const createCli = (): Cli => {
  const cli = new Cli({
    binaryLabel: 'limpetnotch',
    binaryName: 'limpetnotch',
    binaryVersion: '0.1.0',
  });
  COMMANDS.forEach((command) => cli.register(command));
  return cli;
};
