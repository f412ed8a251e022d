import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { Scheduler, SchedulingPolicy } from '@limpetnotch/scheduling';
import { createScheduler, schedulerSettingsSchema, TargetProber } from '@limpetnotch/scheduling';
import { delay } from '@limpetnotch/supervision';
import { EngineModel } from './engineModel';
import { engineNames, fleetConfiguration, getAvailabilityZone } from './fleetConfiguration';
import { RandomSource } from './randomSource';
import type { UserProfile } from './userProfile';
import type { VirtualClock } from './virtualClock';

const LOAD_INTERVAL_MILLISECONDS = 1_000;
const LOAD_DELAY_MILLISECONDS = { least: 300, most: 1_500 };
const CACHE_INTERVAL_MILLISECONDS = 1_000;
const CACHE_DELAY_MILLISECONDS = { least: 500, most: 3_000 };
const CACHE_LOSS_PROBABILITY = 0.03;
const SERVICE_INTERVAL_MILLISECONDS = 500;
const PROBE_INTERVAL_MILLISECONDS = 1_000;

/** An instance with its scheduler and availability zone. */
export interface ModelInstance {
  readonly name: string;
  readonly zone: string;
  readonly scheduler: Scheduler;
}

/** An engine with its simulation model and availability zone. */
export interface ModelEngine {
  readonly name: string;
  readonly zone: string;
  readonly model: EngineModel;
}

/** Options of a {@link ModelFleet}. */
export interface ModelFleetOptions {
  readonly profile: UserProfile;
  readonly policy: SchedulingPolicy;
  /** Scheduler settings that override the defaults. */
  readonly settings?: Readonly<Record<string, number>>;
  readonly clock: VirtualClock;
  readonly seed: number;
}

/**
 * Runs the real scheduler of each instance against simulated engines, with delayed load reports and
 * delayed, partly lost cache events.
 */
export class ModelFleet {
  readonly instances: readonly ModelInstance[];

  readonly engines: ReadonlyMap<string, ModelEngine>;

  readonly #options: ModelFleetOptions;

  readonly #random: RandomSource;

  constructor(options: ModelFleetOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    this.engines = new Map(
      engineNames(options.profile).map((name, index) => [
        name,
        { name, zone: getAvailabilityZone(index), model: new EngineModel(options.clock) },
      ]),
    );
    const names = Array.from(
      { length: options.profile.instances },
      (_, index) => `instance-${index + 1}`,
    );
    this.instances = names.map((name, index) =>
      this.#createInstance(name, getAvailabilityZone(index), names),
    );
  }

  /** Runs load reports, cache events, probes and service exchange until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const engines = [...this.engines.values()];
    await Promise.all([
      ...engines.map((engine) => this.#reportLoad(engine, signal)),
      ...engines.map((engine) => this.#reportCache(engine, signal)),
      ...this.instances.map((instance) => this.#probe(instance, signal)),
      this.#exchangeService(signal),
    ]);
    this.instances.forEach(({ scheduler }) => {
      scheduler.stop();
    });
  }

  #createInstance(name: string, availabilityZone: string, fleet: readonly string[]): ModelInstance {
    const { profile, policy, settings } = this.#options;
    const scheduler = createScheduler({
      instance: name,
      logger: silentLogger,
      metrics: new MemoryMetrics(),
      settings: schedulerSettingsSchema.parse({ availabilityZone, ...settings }),
      policy,
    });
    scheduler.applyConfiguration(fleetConfiguration(profile));
    scheduler.setFleet(fleet);
    return { name, zone: availabilityZone, scheduler };
  }

  async #reportLoad({ name, model }: ModelEngine, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const load = model.load();
      const ageMilliseconds = this.#random.integer(LOAD_DELAY_MILLISECONDS);
      if (model.isUp) {
        this.#scheduleAction(ageMilliseconds, () => {
          this.instances.forEach(({ scheduler }) => {
            scheduler.reportLoad({ target: name, ...load, ageMilliseconds });
          });
        });
      }
      await delay(LOAD_INTERVAL_MILLISECONDS, signal);
    }
  }

  async #reportCache({ name, model }: ModelEngine, signal: AbortSignal): Promise<void> {
    let sequence = 0;
    while (!signal.aborted) {
      const changes = model.cache.takeChanges();
      for (const change of ['stored', 'evicted'] as const) {
        sequence += 1;
        const digests = changes.filter((one) => one.change === change).map(({ digest }) => digest);
        const event = { target: name, sequence, change, digests };
        const isLost = this.#random.uniform() < CACHE_LOSS_PROBABILITY;
        if (!isLost) {
          this.#scheduleAction(CACHE_DELAY_MILLISECONDS.least, () => {
            this.instances.forEach(({ scheduler }) => {
              scheduler.reportCache(event);
            });
          });
        }
      }
      await delay(CACHE_INTERVAL_MILLISECONDS, signal);
    }
  }

  async #exchangeService(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#options.profile.organisations.forEach(({ name }) => {
        const localServices = this.instances.map(({ scheduler }) =>
          scheduler.takeLocalService(name),
        );
        const total = localServices.reduce((sum, tokens) => sum + tokens, 0);
        this.#scheduleAction(SERVICE_INTERVAL_MILLISECONDS, () => {
          this.instances.forEach(({ scheduler }, index) => {
            scheduler.addRemoteService(name, total - (localServices[index] ?? 0));
          });
        });
      });
      await delay(SERVICE_INTERVAL_MILLISECONDS, signal);
    }
  }

  #probe({ scheduler }: ModelInstance, signal: AbortSignal): Promise<void> {
    const prober = new TargetProber({
      scheduler,
      intervalMilliseconds: PROBE_INTERVAL_MILLISECONDS,
      port: {
        probe: ({ name }) => Promise.resolve(this.engines.get(name)?.model.isUp ?? false),
      },
    });
    return prober.asChild().run({ signal, ready: () => undefined });
  }

  #scheduleAction(milliseconds: number, action: () => void): void {
    this.#options.clock.schedule(milliseconds, () => {
      action();
      return true;
    });
  }
}
