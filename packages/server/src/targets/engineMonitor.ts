import type { Configuration, TargetSpec } from '@limpetnotch/declarations';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { Scheduler } from '@limpetnotch/scheduling';
import { delay, Supervisor } from '@limpetnotch/supervision';
import type { ChildContext } from '@limpetnotch/supervision';
import type { EngineControl } from './engineControl';

const LOAD_INTERVAL_MILLISECONDS = 500;
const CACHE_INTERVAL_MILLISECONDS = 500;

/** Options of {@link EngineMonitor}. */
export interface EngineMonitorOptions {
  readonly getConfiguration: () => Configuration;
  readonly scheduler: Scheduler;
  readonly engines: EngineControl;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Polls the load and the cache events of each engine for the scheduler, with two tasks per engine.
 */
export class EngineMonitor {
  readonly #options: EngineMonitorOptions;

  readonly #supervisor: Supervisor;

  readonly #watchedAddresses = new Map<string, string>();

  constructor(options: EngineMonitorOptions) {
    this.#options = options;
    const { logger, metrics } = options;
    this.#supervisor = new Supervisor({ name: 'engines', logger, metrics });
  }

  /** Starts and stops tasks according to the configuration, until the signal aborts. */
  async run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      await this.#reconcile();
      await delay(LOAD_INTERVAL_MILLISECONDS, signal);
    }
    await this.#supervisor.stop();
  }

  async #reconcile(): Promise<void> {
    const engines = [...this.#options.getConfiguration().targets].filter(
      ([, { backend }]) => backend.kind === 'engine',
    );
    const wantedAddresses = new Map(engines.map(([name, { address }]) => [name, address]));
    const removed = [...this.#watchedAddresses].filter(
      ([name, address]) => wantedAddresses.get(name) !== address,
    );
    for (const [name] of removed) await this.#unwatch(name);
    const added = engines.filter(([name]) => !this.#watchedAddresses.has(name));
    for (const [name, target] of added) await this.#watch(name, target);
  }

  async #watch(name: string, target: TargetSpec): Promise<void> {
    this.#watchedAddresses.set(name, target.address);
    await this.#supervisor.startChild({
      name: `load.${name}`,
      restart: 'always',
      run: async (child) => this.#followLoad(name, target, child),
    });
    await this.#supervisor.startChild({
      name: `cache.${name}`,
      restart: 'always',
      run: async (child) => this.#followCache(name, target, child),
    });
  }

  async #unwatch(name: string): Promise<void> {
    this.#watchedAddresses.delete(name);
    await this.#supervisor.stopChild(`cache.${name}`);
    await this.#supervisor.stopChild(`load.${name}`);
  }

  async #followLoad(name: string, target: TargetSpec, child: ChildContext): Promise<void> {
    const { engines, scheduler, metrics } = this.#options;
    child.ready();
    while (!child.signal.aborted) {
      const load = await engines.readLoad(target.address, child.signal);
      if (load.isErr() && !child.signal.aborted) metrics.increment('engine.load-failures');
      if (!child.signal.aborted) scheduler.recordProbe(name, load.isOk());
      if (load.isOk()) scheduler.reportLoad({ target: name, ...load.value });
      await delay(LOAD_INTERVAL_MILLISECONDS, child.signal);
    }
  }

  async #followCache(name: string, target: TargetSpec, child: ChildContext): Promise<void> {
    const { engines, scheduler, metrics } = this.#options;
    child.ready();
    let after = 0;
    while (!child.signal.aborted) {
      const batch = await engines.readCacheEvents(target.address, after, child.signal);
      if (batch.isOk()) {
        batch.value.events.forEach((event) => scheduler.reportCache({ target: name, ...event }));
        after = batch.value.next;
      } else {
        // A restarted engine numbers its events from the start again.
        after = 0;
        metrics.increment('engine.cache-failures');
      }
      await delay(CACHE_INTERVAL_MILLISECONDS, child.signal);
    }
  }
}
