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
import { checkTargetLimit } from './checkTargetLimit';
import { drawFaults } from './drawFaults';
import { drawInstanceCuts } from './drawInstanceCuts';
import { drawTargetLimits } from './drawTargetLimits';
import { EventLoopLag } from './eventLoopLag';
import { SoakCaller } from './soakCaller';
import type { SoakExchange } from './soakExchange';
import type { PlannedFault } from './soakFault';
import { SoakFleet } from './soakFleet';
import type { SoakResult } from './soakResult';
import type { SoakRoute } from './soakRoutes';
import type { Violation } from './violation';

/** Callers for each instance; the slow ones keep idle connections open into a drain. */
const CALLERS_PER_INSTANCE = 10;
const SLOW_CALLER_RATIO = 0.6;
/** Each caller has its own seed, distinct from those of other soaks. */
const CALLER_SEEDS_PER_SOAK = 1_000;
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
  /** Names of the routes that callers use; all if omitted. */
  readonly routes?: readonly string[] | undefined;
  /** Whether instances are cut off from all targets, too. */
  readonly hasCuts?: boolean;
  /** Faults to apply instead of drawn ones. */
  readonly faults?: readonly PlannedFault[];
}

/** Runs instances, callers and faults concurrently, and checks what was observed from outside. */
class SignalSoak {
  readonly #options: SignalSoakOptions;

  readonly #fleet: SoakFleet;

  readonly #runs: readonly TargetRun[];

  readonly #exchanges: SoakExchange[] = [];

  readonly #lag = new EventLoopLag();

  readonly #trafficEnd = new AbortController();

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
      ...drawTargetLimits(
        seed,
        this.#options.seconds * MILLISECONDS_PER_SECOND,
        this.#fleet.targets.length,
      ),
      ...(this.#options.hasCuts
        ? drawInstanceCuts(
            seed,
            this.#options.seconds * MILLISECONDS_PER_SECOND,
            this.#options.instances,
          )
        : []),
    ];
    const faults = [...planned].sort(
      (first, second) => first.atMilliseconds - second.atMilliseconds,
    );
    const count = this.#options.instances * CALLERS_PER_INSTANCE;
    const callers = Array.from({ length: count }, (_, index) =>
      new SoakCaller({
        name: `s${seed}c${index}`,
        seed: seed * CALLER_SEEDS_PER_SOAK + index,
        isSlow: index < count * SLOW_CALLER_RATIO,
        balancer: this.#fleet.balancer,
        ...this.#fleet.access,
        routes: () => this.#routes,
        record: (exchange) => this.#exchanges.push(exchange),
        signal: this.#trafficEnd.signal,
      }).run(),
    );
    await this.#applyFaults(faults);
    this.#trafficEnd.abort();
    await Promise.all(callers);
    await delay(SETTLE_MILLISECONDS);
    await this.#fleet.stop();
    this.#lag.stop();
    return this.#createResult(faults);
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

  /** Applies each fault at its time; resolves at the end of the traffic. */
  async #applyFaults(faults: readonly PlannedFault[]): Promise<void> {
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

  #createResult(faults: readonly PlannedFault[]): SoakResult {
    const lifetimes = this.#fleet.instances.flatMap((instance) => instance.lifetimes);
    const context: CheckContext = {
      graceMilliseconds: this.#options.graceSeconds * MILLISECONDS_PER_SECOND,
      targetEndedAt: (id) => this.#fleet.targetEndedAt(id),
      lagWithin: (from, to) => this.#lag.sumWithin(from, to),
    };
    const violations = [
      ...lifetimes.flatMap((lifetime) => checkLifetime(lifetime, context)),
      ...this.#assignRuns(),
      ...this.#fleet.crashingCallers.flatMap((caller) =>
        checkCrashingRequest(caller, this.#runs, this.#fleet.instances),
      ),
      ...this.#exchanges.flatMap((exchange) => checkExchange(exchange, context)),
      ...this.#checkTargetLimits(),
    ];
    return {
      seed: this.#options.seed,
      faults,
      exchanges: this.#exchanges,
      lifetimes,
      violations,
      longestLagMilliseconds: this.#lag.longest,
      lagMilliseconds: this.#lag.sumWithin(0, Infinity),
      getOutput: (lifetime) => this.#fleet.getOutput(lifetime),
    };
  }

  #checkTargetLimits(): readonly Violation[] {
    const lifetimes = new Map(
      this.#exchanges.map(({ record, lifetime }) => [record.request.id, lifetime]),
    );
    return this.#fleet.targets.flatMap(({ incarnations }) =>
      [...incarnations].flatMap(([id, { limitHistory }]) =>
        checkTargetLimit(id, limitHistory, (requestId) => lifetimes.get(requestId)),
      ),
    );
  }

  /** Assigns the runs to their exchanges; a run of a request that nobody sent is a violation. */
  #assignRuns(): readonly Violation[] {
    const exchanges = new Map(this.#exchanges.map((one) => [one.record.request.id, one]));
    return this.#runs.flatMap((run) => {
      const exchange = exchanges.get(run.requestId);
      exchange?.runs.push(run);
      const isCrashing = this.#fleet.crashingCallers.some((one) => one.isOwnRequest(run.requestId));
      if (exchange || isCrashing) return [];
      const text = `${run.targetId} ran a request that nobody sent`;
      return [{ check: 'unasked', lifetime: '', requestId: run.requestId, text }];
    });
  }
}

/** Runs a soak on a new fleet. */
export const runSignalSoak = async (options: SignalSoakOptions): Promise<SoakResult> => {
  const folder = await mkdtemp(join(tmpdir(), 'limpetnotch-soak-'));
  const runs: TargetRun[] = [];
  const fleet = await SoakFleet.start({
    ...options,
    folder,
    record: (run) => runs.push(run),
    versions: ['v1', 'v2'],
    hasLinks: options.hasCuts === true,
  });
  try {
    return await new SignalSoak(options, fleet, runs).run();
  } finally {
    await fleet.stop();
    await rm(folder, { recursive: true });
  }
};
