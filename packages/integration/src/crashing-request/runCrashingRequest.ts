import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TargetRun } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { SoakFault } from '../signal-soak/soakFault';
import { SoakFleet } from '../signal-soak/soakFleet';
import { findLateRuns } from './findLateRuns';
import type { RepeatedRequest, RepeatingCaller } from './repeatingCaller';
import { CRASH_WORK } from './repeatingCaller';
import { findThirdCrash } from './findThirdCrash';

const MILLISECONDS_PER_SECOND = 1_000;
const INSTANCES = 4;
const GRACE_SECONDS = 5;
const ORDINARY_WORK = '1x10';
const CHECK_INTERVAL_MILLISECONDS = 10;

/** Options of {@link runCrashingRequest}. */
export interface CrashingRequestOptions {
  /** Name of the route. */
  readonly route: string;
  readonly seconds: number;
  /** Script of the entry program. */
  readonly program: string;
  /** Faults to apply, each at a delay after the third crash. */
  readonly faults?: readonly { readonly afterMilliseconds: number; readonly fault: SoakFault }[];
}

/** Observations of a request that crashes its targets, and of ordinary requests sent meanwhile. */
export interface CrashingRequestResult {
  readonly repeats: readonly RepeatedRequest[];
  readonly ordinary: readonly RepeatedRequest[];
  /** Runs of the crashing request at targets. */
  readonly runs: readonly TargetRun[];
  /** Runs that started after the stable window following the third crash. */
  readonly lateRuns: readonly TargetRun[];
  /** When the third target crashed; undefined if fewer did. */
  readonly thirdCrashAt: number | undefined;
  /** What the instances printed. */
  readonly output: string;
}

/** Runs instances with a caller whose request crashes targets, and one with ordinary requests. */
class CrashingRequestRun {
  readonly #options: CrashingRequestOptions;

  readonly #fleet: SoakFleet;

  readonly #runs: readonly TargetRun[];

  readonly #trafficEnd = new AbortController();

  constructor(options: CrashingRequestOptions, fleet: SoakFleet, runs: readonly TargetRun[]) {
    this.#options = options;
    this.#fleet = fleet;
    this.#runs = runs;
  }

  async run(): Promise<CrashingRequestResult> {
    const crashing = this.#createCaller('crashing', CRASH_WORK);
    const ordinary = this.#createCaller('ordinary', ORDINARY_WORK);
    const callers = [crashing.run(), ordinary.run()];
    const faults = this.#applyFaults();
    await delay(this.#options.seconds * MILLISECONDS_PER_SECOND);
    this.#trafficEnd.abort();
    await Promise.all([...callers, faults]);
    await this.#fleet.stop();
    return this.#createResult(crashing, ordinary);
  }

  #createCaller(name: string, work: string): RepeatingCaller {
    const { route } = this.#options;
    return this.#fleet.createRepeatingCaller({
      name,
      route,
      work,
      signal: this.#trafficEnd.signal,
    });
  }

  get #crashingRuns(): readonly TargetRun[] {
    return this.#runs.filter(({ requestId }) => requestId.startsWith('crashing'));
  }

  async #applyFaults(): Promise<void> {
    const { signal } = this.#trafficEnd;
    while (!signal.aborted && findThirdCrash(this.#crashingRuns) === undefined) {
      await delay(CHECK_INTERVAL_MILLISECONDS, signal);
    }
    await Promise.all(
      (this.#options.faults ?? []).map(async ({ afterMilliseconds, fault }) => {
        await delay(afterMilliseconds, signal);
        if (!signal.aborted) await this.#fleet.apply(fault);
      }),
    );
  }

  #createResult(crashing: RepeatingCaller, ordinary: RepeatingCaller): CrashingRequestResult {
    const runs = this.#crashingRuns;
    const lifetimes = this.#fleet.instances.flatMap((instance) => instance.lifetimes);
    return {
      repeats: crashing.sent,
      ordinary: ordinary.sent,
      runs,
      lateRuns: findLateRuns(runs),
      thirdCrashAt: findThirdCrash(runs),
      output: lifetimes.map((lifetime) => this.#fleet.getOutput(lifetime)).join(''),
    };
  }
}

/** Runs instance processes while one request crashes every target that runs it. */
export const runCrashingRequest = async (
  options: CrashingRequestOptions,
): Promise<CrashingRequestResult> => {
  const folder = await mkdtemp(join(tmpdir(), 'limpetnotch-crashing-'));
  const runs: TargetRun[] = [];
  const fleet = await SoakFleet.start({
    instances: INSTANCES,
    graceSeconds: GRACE_SECONDS,
    program: options.program,
    folder,
    record: (run) => runs.push(run),
  });
  try {
    return await new CrashingRequestRun(options, fleet, runs).run();
  } finally {
    await fleet.stop();
    await rm(folder, { recursive: true });
  }
};
