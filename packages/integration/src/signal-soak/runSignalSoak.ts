import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TargetRun } from '@limpetnotch/stand-ins';
import { SeededRandom } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { CheckContext } from './checkContext';
import { checkExchange } from './checkExchange';
import { checkLifetime } from './checkLifetime';
import { checkCrashingRequest } from './checkCrashingRequest';
import { drawCrashingRequest } from './drawCrashingRequest';
import { drawFaults } from './drawFaults';
import { EventLoopLag } from './eventLoopLag';
import { SoakCaller } from './soakCaller';
import type { SoakExchange } from './soakExchange';
import type { PlannedFault } from './soakFault';
import { SoakFleet } from './soakFleet';
import type { SoakResult } from './soakResult';
import type { SoakRoute } from './soakRoutes';
import type { Violation } from './violation';

/** Callers for each instance; the slow ones keep idle connections into a drain. */
const CALLERS_PER_INSTANCE = 10;
const SLOW_PART = 0.6;
/** Callers draw from seeds of their own, apart from those of other soaks. */
const SEEDS_PER_SOAK = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time for the last cancelled runs to end. */
const SETTLE_MILLISECONDS = 1_500;

/** Options of {@link runSignalSoak}. */
export interface SignalSoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  readonly graceSeconds: number;
  /** Script of the entry program. */
  readonly program: string;
  /** Names of the routes that callers use; all where it is missing. */
  readonly routes?: readonly string[] | undefined;
  /** Faults to carry out instead of drawn ones. */
  readonly faults?: readonly PlannedFault[];
}

/** One soak: real instances, callers and faults side by side, checked from what was seen outside. */
class SignalSoak {
  readonly #options: SignalSoakOptions;

  readonly #fleet: SoakFleet;

  readonly #runs: readonly TargetRun[];

  readonly #exchanges: SoakExchange[] = [];

  readonly #lag = new EventLoopLag();

  readonly #over = new AbortController();

  constructor(options: SignalSoakOptions, fleet: SoakFleet, runs: readonly TargetRun[]) {
    this.#options = options;
    this.#fleet = fleet;
    this.#runs = runs;
  }

  async run(): Promise<SoakResult> {
    const { seed } = this.#options;
    const planned = this.#options.faults ?? [
      ...this.#drawFaults(),
      drawCrashingRequest(seed, this.#options.seconds * MILLISECONDS_PER_SECOND),
    ];
    const faults = [...planned].sort(
      (first, second) => first.atMilliseconds - second.atMilliseconds,
    );
    const count = this.#options.instances * CALLERS_PER_INSTANCE;
    const callers = Array.from({ length: count }, (_, index) =>
      new SoakCaller({
        name: `s${seed}c${index}`,
        seed: seed * SEEDS_PER_SOAK + index,
        isSlow: index < count * SLOW_PART,
        balancer: this.#fleet.balancer,
        ...this.#fleet.access,
        routes: () => this.#routes,
        record: (exchange) => this.#exchanges.push(exchange),
        signal: this.#over.signal,
      }).run(),
    );
    await this.#carryOut(faults);
    this.#over.abort();
    await Promise.all(callers);
    await delay(SETTLE_MILLISECONDS);
    await this.#fleet.stop();
    this.#lag.stop();
    return this.#judge(faults);
  }

  get #routes(): readonly SoakRoute[] {
    const { routes: names } = this.#options;
    const { routes } = this.#fleet;
    return names ? routes.filter(({ name }) => names.includes(name)) : routes;
  }

  #drawFaults(): readonly PlannedFault[] {
    const { seed, seconds, instances, graceSeconds } = this.#options;
    return drawFaults({
      random: new SeededRandom(seed),
      milliseconds: seconds * MILLISECONDS_PER_SECOND,
      instances,
      targets: this.#fleet.targets.length,
      graceMilliseconds: graceSeconds * MILLISECONDS_PER_SECOND,
    });
  }

  /** Carries out each fault at its time; resolves at the end of the traffic. */
  async #carryOut(faults: readonly PlannedFault[]): Promise<void> {
    const startedAt = performance.now();
    const waitUntilTime = (milliseconds: number): Promise<void> =>
      delay(Math.max(0, startedAt + milliseconds - performance.now()));
    const running: Promise<void>[] = [];
    for (const { atMilliseconds, fault } of faults) {
      await waitUntilTime(atMilliseconds);
      running.push(this.#fleet.apply(fault));
    }
    await waitUntilTime(this.#options.seconds * MILLISECONDS_PER_SECOND);
    await Promise.all(running);
  }

  #judge(faults: readonly PlannedFault[]): SoakResult {
    const lifetimes = this.#fleet.instances.flatMap((instance) => instance.lifetimes);
    const context: CheckContext = {
      graceMilliseconds: this.#options.graceSeconds * MILLISECONDS_PER_SECOND,
      targetEndedAt: (id) => this.#fleet.targetEndedAt(id),
      lagWithin: (from, to) => this.#lag.within(from, to),
    };
    const violations = [
      ...lifetimes.flatMap((lifetime) => checkLifetime(lifetime, context)),
      ...this.#assignRuns(),
      ...this.#fleet.crashingCallers.flatMap((caller) =>
        checkCrashingRequest(caller, this.#runs, this.#fleet.instances),
      ),
      ...this.#exchanges.flatMap((exchange) => checkExchange(exchange, context)),
    ];
    return {
      seed: this.#options.seed,
      faults,
      exchanges: this.#exchanges,
      lifetimes,
      violations,
      longestLagMilliseconds: this.#lag.longest,
      lagMilliseconds: this.#lag.within(0, Infinity),
      outputOf: (lifetime) => this.#fleet.outputOf(lifetime),
    };
  }

  /** Gives each exchange its runs; a run that nobody asked for is a violation. */
  #assignRuns(): readonly Violation[] {
    const exchanges = new Map(this.#exchanges.map((one) => [one.record.request.id, one]));
    return this.#runs.flatMap((run) => {
      const exchange = exchanges.get(run.requestId);
      exchange?.runs.push(run);
      const isCrashing = this.#fleet.crashingCallers.some((one) => one.isOwn(run.requestId));
      if (exchange || isCrashing) return [];
      const text = `${run.targetId} ran a request that nobody sent`;
      return [{ check: 'unasked', lifetime: '', requestId: run.requestId, text }];
    });
  }
}

/** Runs a soak on a fleet of its own. */
export const runSignalSoak = async (options: SignalSoakOptions): Promise<SoakResult> => {
  const folder = await mkdtemp(join(tmpdir(), 'limpetnotch-soak-'));
  const runs: TargetRun[] = [];
  const fleet = await SoakFleet.start({ ...options, folder, record: (run) => runs.push(run) });
  try {
    return await new SignalSoak(options, fleet, runs).run();
  } finally {
    await fleet.stop();
    await rm(folder, { recursive: true });
  }
};
