import { Command } from 'clipanion';
import { ToolStandIn } from '../tools/toolStandIn';
import type { RunningStandIn } from './standInCommand';
import { StandInCommand } from './standInCommand';

/** `tools` and `service`: a service that records every call that takes effect. */
export class ToolsCommand extends StandInCommand {
  static override paths = [['tools'], ['service']];

  static override usage = Command.Usage({ description: 'Run a tool service or a plain service' });

  protected create(): RunningStandIn {
    return new ToolStandIn();
  }
}
