import { Command } from 'clipanion';
import { CollectorStandIn } from '../collector/collectorStandIn';
import type { RunningStandIn } from './standInCommand';
import { StandInCommand } from './standInCommand';

/** `collector`: receives traces over OTLP and metrics over StatsD. */
export class CollectorCommand extends StandInCommand {
  static override paths = [['collector']];

  static override usage = Command.Usage({ description: 'Run a collector of traces and metrics' });

  protected create(): RunningStandIn {
    return new CollectorStandIn();
  }
}
