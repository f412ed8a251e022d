import type { JournalFigures, JournalGoal, JournalLoadFigures } from './journalFigures';
import { measureJournalLoad } from './measureJournalLoad';
import { measureDeath, measureHandover } from './measureRecovery';

const PARTITIONS = 64;
const PAUSE_MILLISECONDS = 500;
const LEASE_MILLISECONDS = 3_000;
const RECOVERY_SLACK_MILLISECONDS = 1_000;
const HANDOVER_GOAL_MILLISECONDS = 200;

/** Options of {@link measureJournal}. */
export interface JournalBenchOptions {
  /** Length of each load, in seconds. */
  readonly seconds: number;
  /** Deaths and handovers that are measured. */
  readonly rounds: number;
}

/** Instances and programs of the loads: the slopes are taken along each of them. */
const LOADS: readonly { readonly instances: number; readonly programs: number }[] = [
  { instances: 4, programs: 16 },
  { instances: 4, programs: 64 },
  { instances: 4, programs: 256 },
  { instances: 2, programs: 64 },
  { instances: 8, programs: 64 },
];

const atMost = (name: string, value: number, bound: number): JournalGoal => ({
  name,
  bound,
  value,
  met: value <= bound,
});

/** Measures what the journal costs the store, and how long partitions are without an owner. */
export const measureJournal = async (options: JournalBenchOptions): Promise<JournalFigures> => {
  const loads: JournalLoadFigures[] = [];
  for (const load of LOADS) {
    const { seconds } = options;
    const shape = { partitions: PARTITIONS, pauseMilliseconds: PAUSE_MILLISECONDS, seconds };
    loads.push(await measureJournalLoad({ ...load, ...shape }));
  }
  const afterDeath = await measureDeath(PARTITIONS, options.rounds);
  const afterHandover = await measureHandover(PARTITIONS, options.rounds);
  const refused = loads.reduce((sum, { refusedCalls }) => sum + refusedCalls, 0);
  const recoveryBound = LEASE_MILLISECONDS + RECOVERY_SLACK_MILLISECONDS;
  const goals = [
    atMost('recovery after a death, p95, ms', afterDeath.p95, recoveryBound),
    atMost(
      'queueing at a handover, maximum, ms',
      afterHandover.maximum,
      HANDOVER_GOAL_MILLISECONDS,
    ),
    atMost('calls refused under load', refused, 0),
  ];
  return { loads, afterDeath, afterHandover, goals };
};
