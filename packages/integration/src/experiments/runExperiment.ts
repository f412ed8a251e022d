import { setMaxListeners } from 'node:events';
import type { SchedulingPolicy } from '@limpetnotch/scheduling';
import { delay } from '@limpetnotch/supervision';
import { ModelFleet } from './modelFleet';
import { ProgramRunner } from './programRunner';
import type { RunFigures } from './runTally';
import { RunTally } from './runTally';
import type { UserProfile } from './userProfile';
import { VirtualClock } from './virtualClock';
import type { Workload } from './workload';
import { LOSS_PHASE } from './workload';

const LOST_ENGINE = 'engine-3';

/** Options of {@link runExperiment}. */
export interface ExperimentOptions {
  readonly profile: UserProfile;
  readonly policy: SchedulingPolicy;
  readonly workload: Workload;
  readonly seed: number;
  /** Scheduler settings that override the defaults. */
  readonly settings?: Readonly<Record<string, number>>;
}

const simulateEngineLoss = async (fleet: ModelFleet, duration: number): Promise<void> => {
  const model = fleet.engines.get(LOST_ENGINE)?.model;
  await delay(LOSS_PHASE.from * duration);
  model?.crash();
  await delay((LOSS_PHASE.to - LOSS_PHASE.from) * duration);
  model?.restart();
};

const runPrograms = async (runner: ProgramRunner, { programs }: Workload): Promise<void> => {
  const running: Promise<void>[] = [];
  for (const [index, program] of programs.entries()) {
    await delay(program.startMilliseconds - performance.now());
    running.push(runner.run(program, index));
  }
  await Promise.all(running);
};

/** Runs a workload under one policy on a virtual clock, until the last program has ended. */
export const runExperiment = async (options: ExperimentOptions): Promise<RunFigures> => {
  const { profile, policy, workload, seed, settings = {} } = options;
  const clock = new VirtualClock();
  const tally = new RunTally(profile, workload);
  await clock.run(async () => {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    const fleet = new ModelFleet({ profile, policy, settings, clock, seed });
    const background = fleet.run(controller.signal);
    const runner = new ProgramRunner({ profile, fleet, tally });
    const loss = simulateEngineLoss(fleet, workload.durationMilliseconds);
    await Promise.all([runPrograms(runner, workload), loss]);
    controller.abort();
    await background;
  });
  return tally.computeFigures();
};
