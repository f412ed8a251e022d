import { monitorEventLoopDelay } from 'node:perf_hooks';
import { ConfigurationFollower } from '@limpetnotch/declarations';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import { Deferred, delay } from '@limpetnotch/supervision';

const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const RESOLUTION_MILLISECONDS = 1;
const SETTLING_MILLISECONDS = 50;

/** Configuration follower that measures how long configurations take to come into force. */
export class MeasuredFollower {
  readonly #controller = new AbortController();

  readonly #follower: ConfigurationFollower;

  readonly #stall = monitorEventLoopDelay({ resolution: RESOLUTION_MILLISECONDS });

  #running: Promise<void> | undefined;

  constructor(store: KeyValueStore) {
    const metrics = new MemoryMetrics();
    this.#follower = new ConfigurationFollower({ store, logger: silentLogger, metrics });
  }

  /** Starts; resolves to the time until a configuration is in force, in milliseconds. */
  async start(): Promise<number> {
    const startedAt = performance.now();
    const ready = new Deferred();
    this.#running = this.#follower.run({
      signal: this.#controller.signal,
      ready: () => ready.resolve(undefined),
    });
    await ready.promise;
    return performance.now() - startedAt;
  }

  /** Resolves to the time until a revision is in force, in milliseconds. */
  async awaitRevision(revision: number): Promise<number> {
    const startedAt = performance.now();
    const reached = new Deferred();
    const check = (current: number): void => {
      if (current >= revision) reached.resolve(undefined);
    };
    const stop = this.#follower.onChange((configuration) => check(configuration.revision));
    check(this.#follower.current().revision);
    await reached.promise;
    stop();
    return performance.now() - startedAt;
  }

  /** Starts to measure stalls of the event loop. */
  startStallMeasurement(): void {
    this.#stall.reset();
    this.#stall.enable();
  }

  /**
   * Stops the measurement and resolves to its longest stall, in milliseconds. Waits first, because a
   * stall is only recorded once it has ended.
   */
  async endStallMeasurement(): Promise<number> {
    await delay(SETTLING_MILLISECONDS);
    this.#stall.disable();
    return this.#stall.max / NANOSECONDS_PER_MILLISECOND;
  }

  async stop(): Promise<void> {
    this.#controller.abort();
    await this.#running;
  }
}
