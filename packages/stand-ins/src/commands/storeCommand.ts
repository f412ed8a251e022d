import { Command } from 'clipanion';
import { StoreStandIn } from '../store/storeStandIn';
import type { RunningStandIn } from './standInCommand';
import { StandInCommand } from './standInCommand';

/** `store`: the platform's key-value service. */
export class StoreCommand extends StandInCommand {
  static override paths = [['store']];

  static override usage = Command.Usage({ description: 'Run a key-value service' });

  protected create(): RunningStandIn {
    return new StoreStandIn();
  }
}
