import type { CommandClass } from 'clipanion';
import { AdmissionBench } from './benches/admissionBench';
import { ControlCommand } from './benches/controlCommand';
import { JournalCommand } from './benches/journalCommand';
import { PathCommand } from './benches/pathCommand';
import { TurnsCommand } from './benches/turnsCommand';
import { ConfigurationCommand } from './configuration/configurationCommand';
import { PlacementCommand } from './experiments/placementCommand';
import { SchedulingCommand } from './experiments/schedulingCommand';

/** Commands of the benches; the path of each is the bench's name. */
export const BENCH_COMMANDS: readonly CommandClass[] = [
  AdmissionBench,
  ConfigurationCommand,
  ControlCommand,
  JournalCommand,
  PathCommand,
  PlacementCommand,
  SchedulingCommand,
  TurnsCommand,
];
