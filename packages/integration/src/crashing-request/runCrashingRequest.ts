import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TargetRun } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { SoakFault } from '../signal-soak/soakFault';
import { SoakFleet } from '../signal-soak/soakFleet';
import { lateRunsOf } from './lateRunsOf';
import type { RepeatedRequest, RepeatingCaller } from './repeatingCaller';
import { CRASH_WORK } from './repeatingCaller';
import { thirdCrashOf } from './thirdCrashOf';

const MILLISECONDS_PER_SECOND = 1_000;
const INSTANCES = 4;
const GRACE_SECONDS = 5;
const ORDINARY_WORK = '1x10';
const CHECK_MILLISECONDS = 10;

/** Options of {@link runCrashingRequest}. */
export interface CrashingRequestOptions {
  /** Name of the route. */
  readonly route: string;
  readonly seconds: number;
  /** Script of the entry program. */
  readonly program: string;
  /** Faults a time after the third crash. */
  readonly faults?: readonly { readonly afterMilliseconds: number; readonly fault: SoakFault }[];
}

/** What was seen of a request that crashes its targets, and of ordinary ones beside it. */
export interface CrashingRequestResult {
  readonly repeats: readonly RepeatedRequest[];
  readonly ordinary: readonly RepeatedRequest[];
  /** Starts of the request at targets. */
  readonly runs: readonly TargetRun[];
  /** Starts that came later than the window after the third crash. */
  readonly lateRuns: readonly TargetRun[];
  /** When the third target crashed; undefined where fewer did. */
  readonly thirdCrashAt: number | undefined;
  /** What the instances printed. */
  readonly output: string;
}

/** Real instances, a caller whose request crashes every target, and one with ordinary requests. */
class CrashingRequestRun {
  readonly #options: CrashingRequestOptions;

  readonly #fleet: SoakFleet;

  readonly #runs: readonly TargetRun[];

  readonly #over = new AbortController();

  constructor(options: CrashingRequestOptions, fleet: SoakFleet, runs: readonly TargetRun[]) {
    this.#options = options;
    this.#fleet = fleet;
    this.#runs = runs;
  }

  async run(): Promise<CrashingRequestResult> {
    const crashing = this.#caller('crashing', CRASH_WORK);
    const ordinary = this.#caller('ordinary', ORDINARY_WORK);
    const callers = [crashing.run(), ordinary.run()];
    const faults = this.#carryOutFaults();
    await delay(this.#options.seconds * MILLISECONDS_PER_SECOND);
    this.#over.abort();
    await Promise.all([...callers, faults]);
    await this.#fleet.stop();
    return this.#resultOf(crashing, ordinary);
  }

  #caller(name: string, work: string): RepeatingCaller {
    const { route } = this.#options;
    return this.#fleet.createRepeatingCaller({ name, route, work, signal: this.#over.signal });
  }

  get #crashingRuns(): readonly TargetRun[] {
    return this.#runs.filter(({ requestId }) => requestId.startsWith('crashing'));
  }

  async #carryOutFaults(): Promise<void> {
    const { signal } = this.#over;
    while (!signal.aborted && thirdCrashOf(this.#crashingRuns) === undefined) {
      await delay(CHECK_MILLISECONDS, signal);
    }
    await Promise.all(
      (this.#options.faults ?? []).map(async ({ afterMilliseconds, fault }) => {
        await delay(afterMilliseconds, signal);
        if (!signal.aborted) await this.#fleet.apply(fault);
      }),
    );
  }

  #resultOf(crashing: RepeatingCaller, ordinary: RepeatingCaller): CrashingRequestResult {
    const runs = this.#crashingRuns;
    const lifetimes = this.#fleet.instances.flatMap((instance) => instance.lifetimes);
    return {
      repeats: crashing.sent,
      ordinary: ordinary.sent,
      runs,
      lateRuns: lateRunsOf(runs),
      thirdCrashAt: thirdCrashOf(runs),
      output: lifetimes.map((lifetime) => this.#fleet.outputOf(lifetime)).join(''),
    };
  }
}

/** Runs real instances beside a request that crashes every target that runs it. */
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
