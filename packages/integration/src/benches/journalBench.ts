import type { JournalFigures, JournalGoal, JournalLoadFigures } from './journalFigures';
import { measureJournalLoad } from './measureJournalLoad';
import { measureOwnerLoss, measureHandover } from './measureRecovery';

const PARTITIONS = 64;
const PAUSE_MILLISECONDS = 500;
const LEASE_MILLISECONDS = 3_000;
const RECOVERY_SLACK_MILLISECONDS = 1_000;
const HANDOVER_GOAL_MILLISECONDS = 200;

/** Options of {@link measureJournal}. */
export interface JournalBenchOptions {
  /** Length of each load, in seconds. */
  readonly seconds: number;
  /** Number of owner losses, and of handovers, to measure. */
  readonly rounds: number;
}

/** Loads that vary the number of programs and the number of instances, for a slope along each. */
const LOADS: readonly { readonly instances: number; readonly programs: number }[] = [
  { instances: 4, programs: 16 },
  { instances: 4, programs: 64 },
  { instances: 4, programs: 256 },
  { instances: 2, programs: 64 },
  { instances: 8, programs: 64 },
];

const createGoal = (name: string, value: number, bound: number): JournalGoal => ({
  name,
  bound,
  value,
  met: value <= bound,
});

/** Measures the load of the journal on the store, and how long partitions have no owner. */
export const measureJournal = async (options: JournalBenchOptions): Promise<JournalFigures> => {
  const loads: JournalLoadFigures[] = [];
  for (const load of LOADS) {
    const { seconds } = options;
    const shape = { partitions: PARTITIONS, pauseMilliseconds: PAUSE_MILLISECONDS, seconds };
    loads.push(await measureJournalLoad({ ...load, ...shape }));
  }
  const afterDeath = await measureOwnerLoss(PARTITIONS, options.rounds);
  const afterHandover = await measureHandover(PARTITIONS, options.rounds);
  const refused = loads.reduce((sum, { refusedCalls }) => sum + refusedCalls, 0);
  const recoveryBound = LEASE_MILLISECONDS + RECOVERY_SLACK_MILLISECONDS;
  const goals = [
    createGoal('recovery after a death, p95, ms', afterDeath.p95, recoveryBound),
    createGoal(
      'queueing at a handover, maximum, ms',
      afterHandover.maximum,
      HANDOVER_GOAL_MILLISECONDS,
    ),
    createGoal('calls refused under load', refused, 0),
  ];
  return { loads, afterDeath, afterHandover, goals };
};
