import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { delay } from '@limpetnotch/supervision';
import type { RepeatedRequest } from '../crashing-request/repeatingCaller';
import type { PlannedFault } from '../signal-soak/soakFault';
import { SoakFleet } from '../signal-soak/soakFleet';
import type { LimitExcess } from './findLimitExcess';
import { findLimitExcess } from './findLimitExcess';

const MILLISECONDS_PER_SECOND = 1_000;
const INSTANCES = 4;
const GRACE_SECONDS = 5;
const WORK = '1x10';

/** Options of {@link runCappedTargets}. */
export interface CappedTargetsOptions {
  /** Name of the route. */
  readonly route: string;
  /** Callers, each of which sends the next request 250 ms after a response. */
  readonly callers: number;
  readonly seconds: number;
  /** Script of the entry program. */
  readonly program: string;
  readonly faults: readonly PlannedFault[];
}

/** What callers and targets observed. */
export interface CappedTargetsResult {
  readonly requests: readonly RepeatedRequest[];
  /** The worst span of each target that got more requests than allowed. */
  readonly excesses: readonly LimitExcess[];
  /** Requests that reached targets that named a limit. */
  readonly limitedArrivals: number;
  /** What the instances printed. */
  readonly output: string;
}

/** Runs instance processes with steady callers while targets name limits. */
export const runCappedTargets = async (
  options: CappedTargetsOptions,
): Promise<CappedTargetsResult> => {
  const folder = await mkdtemp(join(tmpdir(), 'limpetnotch-capped-'));
  const fleet = await SoakFleet.start({
    instances: INSTANCES,
    graceSeconds: GRACE_SECONDS,
    program: options.program,
    folder,
    record: () => undefined,
  });
  try {
    const end = new AbortController();
    const callers = Array.from({ length: options.callers }, (_, index) =>
      fleet.createRepeatingCaller({
        name: `caller${index}`,
        route: options.route,
        work: WORK,
        signal: end.signal,
        firstInstance: index % INSTANCES,
      }),
    );
    const running = callers.map((caller) => caller.run());
    const faults = options.faults.map(async ({ atMilliseconds, fault }) => {
      await delay(atMilliseconds);
      await fleet.apply(fault);
    });
    await delay(options.seconds * MILLISECONDS_PER_SECOND);
    end.abort();
    await Promise.all([...running, ...faults]);
    const histories = fleet.targets.flatMap(({ incarnations }) =>
      [...incarnations.values()].map(({ limitHistory }) => limitHistory),
    );
    await fleet.stop();
    const lifetimes = fleet.instances.flatMap((instance) => instance.lifetimes);
    return {
      requests: callers.flatMap(({ sent }) => sent),
      excesses: histories.flatMap((history) => findLimitExcess(history) ?? []),
      limitedArrivals: histories
        .filter(({ values }) =>
          values.some(({ requestsPerSecond }) => requestsPerSecond !== undefined),
        )
        .reduce((sum, { arrivals }) => sum + arrivals.length, 0),
      output: lifetimes.map((lifetime) => fleet.getOutput(lifetime)).join(''),
    };
  } finally {
    await fleet.stop();
    await rm(folder, { recursive: true });
  }
};
