import { setMaxListeners } from 'node:events';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { CallerRecord, TargetRun } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { InstanceCut } from '../signal-soak/soakFault';
import { SoakFleet } from '../signal-soak/soakFleet';
import { runSteadyCaller } from './steadyCaller';

const INSTANCES = 4;
const GRACE_SECONDS = 5;
/** New instances learn of each other within this time. */
const JOIN_MILLISECONDS = 3_000;
const CUT_AT_MILLISECONDS = 1_000;
/** The platform's stable window: requests count from this long after the cut began. */
const STABLE_WINDOW_MILLISECONDS = 3_000;
const COUNTED_MILLISECONDS = 4_000;
/** Time after the end of the cut in which requests are sent. */
const AFTER_CUT_MILLISECONDS = 1_500;
const CALLERS_PER_ROUTE = 2;
/** Index of the key without a rate limit. */
const UNLIMITED_KEY = 1;
const STATUS_OK = 200;

/** Options of {@link runStrandedInstances}. */
export interface StrandedInstancesOptions extends Pick<InstanceCut, 'instances' | 'mode'> {
  /** Script of the entry program. */
  readonly program: string;
}

/** First attempts of callers at some instances. */
export interface FirstAttempts {
  readonly sent: number;
  readonly served: number;
}

/** What callers and targets saw. */
export interface StrandedInstancesResult {
  /** In the cut, at the instances that are cut off and at the others. */
  readonly atCut: FirstAttempts;
  readonly atOthers: FirstAttempts;
  /** After the cut, at the instances that were cut off. */
  readonly afterCut: FirstAttempts;
  readonly records: readonly CallerRecord[];
  readonly runs: readonly TargetRun[];
  /** Output of the instances that were cut off, and of the others. */
  readonly outputOfCut: string;
  readonly outputOfOthers: string;
}

const isServed = ({ outcome }: CallerRecord): boolean =>
  outcome.kind === 'answered' && outcome.status === STATUS_OK;

const countWithin = (records: readonly CallerRecord[], from: number, to: number): FirstAttempts => {
  const counted = records.filter(({ beganAt }) => beganAt >= from && beganAt < to);
  return { sent: counted.length, served: counted.filter(isServed).length };
};

/** Runs instance processes of which some are cut off from all targets while callers use them. */
export const runStrandedInstances = async ({
  instances,
  mode,
  program,
}: StrandedInstancesOptions): Promise<StrandedInstancesResult> => {
  const folder = await mkdtemp(join(tmpdir(), 'limpetnotch-stranded-'));
  const runs: TargetRun[] = [];
  const fleet = await SoakFleet.start({
    instances: INSTANCES,
    graceSeconds: GRACE_SECONDS,
    program,
    folder,
    record: (run) => runs.push(run),
    hasLinks: true,
  });
  const end = new AbortController();
  // Each caller waits for the end.
  setMaxListeners(0, end.signal);
  try {
    await delay(JOIN_MILLISECONDS);
    const callers = fleet.instances.flatMap(({ host: instanceHost }, instance) =>
      fleet.routes.flatMap((route) =>
        Array.from({ length: CALLERS_PER_ROUTE }, async (_, index) => ({
          instance,
          records: await runSteadyCaller({
            name: `i${instance}-${route.name}-${index}`,
            instanceHost,
            host: fleet.access.host,
            key: fleet.access.keys[UNLIMITED_KEY] ?? '',
            route,
            signal: end.signal,
          }),
        })),
      ),
    );
    await delay(CUT_AT_MILLISECONDS);
    const cutAt = performance.now();
    const forMilliseconds = STABLE_WINDOW_MILLISECONDS + COUNTED_MILLISECONDS;
    await fleet.apply({ kind: 'instance-cut', instances, mode, forMilliseconds });
    const reopenedAt = performance.now();
    await delay(AFTER_CUT_MILLISECONDS);
    end.abort();
    const finished = await Promise.all(callers);
    const recordsOf = (isCut: boolean): readonly CallerRecord[] =>
      finished
        .filter(({ instance }) => instances.includes(instance) === isCut)
        .flatMap(({ records }) => records);
    const outputOf = (isCut: boolean): string =>
      fleet.instances
        .filter((_, index) => instances.includes(index) === isCut)
        .map((instance) => instance.getOutput(instance.latestLifetime))
        .join('');
    const countedFrom = cutAt + STABLE_WINDOW_MILLISECONDS;
    const countedTo = countedFrom + COUNTED_MILLISECONDS;
    return {
      atCut: countWithin(recordsOf(true), countedFrom, countedTo),
      atOthers: countWithin(recordsOf(false), countedFrom, countedTo),
      afterCut: countWithin(recordsOf(true), reopenedAt, Infinity),
      records: finished.flatMap(({ records }) => records),
      runs,
      outputOfCut: outputOf(true),
      outputOfOthers: outputOf(false),
    };
  } finally {
    end.abort();
    await fleet.stop();
    await rm(folder, { recursive: true });
  }
};
