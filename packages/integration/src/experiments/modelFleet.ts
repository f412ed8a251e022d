import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { Scheduler, SchedulingPolicy } from '@limpetnotch/scheduling';
import { createScheduler, schedulerSettingsSchema, TargetProber } from '@limpetnotch/scheduling';
import { delay } from '@limpetnotch/supervision';
import { EngineModel } from './engineModel';
import { engineNames, fleetConfiguration, zoneOf } from './fleetConfiguration';
import { RandomSource } from './randomSource';
import type { UserProfile } from './userProfile';
import type { VirtualClock } from './virtualClock';

const LOAD_INTERVAL_MILLISECONDS = 1_000;
const LOAD_LAG = { least: 300, most: 1_500 };
const CACHE_INTERVAL_MILLISECONDS = 1_000;
const CACHE_LAG = { least: 500, most: 3_000 };
const CACHE_LOSS_PROBABILITY = 0.03;
const SERVICE_INTERVAL_MILLISECONDS = 500;
const PROBE_INTERVAL_MILLISECONDS = 1_000;

/** An instance: its scheduler and its zone. */
export interface ModelInstance {
  readonly name: string;
  readonly zone: string;
  readonly scheduler: Scheduler;
}

/** An engine: its model and its zone. */
export interface ModelEngine {
  readonly name: string;
  readonly zone: string;
  readonly model: EngineModel;
}

/** Options of a {@link ModelFleet}. */
export interface ModelFleetOptions {
  readonly profile: UserProfile;
  readonly policy: SchedulingPolicy;
  /** Settings that differ from their defaults. */
  readonly settings?: Readonly<Record<string, number>>;
  readonly clock: VirtualClock;
  readonly seed: number;
}

/** Real schedulers of all instances before engine models, with late load reports and cache events. */
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
        { name, zone: zoneOf(index), model: new EngineModel(options.clock) },
      ]),
    );
    const names = Array.from(
      { length: options.profile.instances },
      (_, index) => `instance-${index + 1}`,
    );
    this.instances = names.map((name, index) => this.#createInstance(name, zoneOf(index), names));
  }

  /** Runs reports, events, probes and the exchange of service until the signal aborts. */
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

  #createInstance(name: string, zone: string, fleet: readonly string[]): ModelInstance {
    const { profile, policy, settings } = this.#options;
    const scheduler = createScheduler({
      instance: name,
      logger: silentLogger,
      metrics: new MemoryMetrics(),
      settings: schedulerSettingsSchema.parse({ availabilityZone: zone, ...settings }),
      policy,
    });
    scheduler.applyConfiguration(fleetConfiguration(profile));
    scheduler.setFleet(fleet);
    return { name, zone, scheduler };
  }

  async #reportLoad({ name, model }: ModelEngine, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const load = model.load();
      const ageMilliseconds = this.#random.integer(LOAD_LAG);
      if (model.isUp) {
        this.#later(ageMilliseconds, () => {
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
          this.#later(CACHE_LAG.least, () => {
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
        const given = this.instances.map(({ scheduler }) => scheduler.takeLocalService(name));
        const total = given.reduce((sum, tokens) => sum + tokens, 0);
        this.#later(SERVICE_INTERVAL_MILLISECONDS, () => {
          this.instances.forEach(({ scheduler }, index) => {
            scheduler.addRemoteService(name, total - (given[index] ?? 0));
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

  #later(milliseconds: number, action: () => void): void {
    this.#options.clock.schedule(milliseconds, () => {
      action();
      return true;
    });
  }
}
