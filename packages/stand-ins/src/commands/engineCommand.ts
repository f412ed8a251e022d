import { Command, Option } from 'clipanion';
import { EngineStandIn } from '../engine/engineStandIn';
import { engineOptionsSchema } from '../engine/engineSettings';
import type { RunningStandIn } from './standInCommand';
import { StandInCommand } from './standInCommand';

/** `engine`: a model engine. */
export class EngineCommand extends StandInCommand {
  static override paths = [['engine']];

  static override usage = Command.Usage({
    description: 'Run a model engine',
    examples: [['Two models', `engine --settings '{"models":["small","large"]}'`]],
  });

  settings = Option.String('--settings', '{}', {
    description: 'Settings as JSON; those left out keep their default',
  });

  protected create(): RunningStandIn {
    const settings: unknown = JSON.parse(this.settings);
    return new EngineStandIn(engineOptionsSchema.parse(settings));
  }
}
