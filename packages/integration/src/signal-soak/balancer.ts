import { PLATFORM_PORTS, READINESS_PATH } from '@limpetnotch/stand-ins';
import { request } from 'undici';
import type { SoakInstance } from './soakInstance';

/** The platform probes each instance once a second. */
const PROBE_INTERVAL_MILLISECONDS = 1_000;
/** Consecutive missed probes after which an instance gets no new connections. */
const MAXIMUM_MISSES = 2;
const STATUS_OK = 200;

/** Selects the instances that get new connections by readiness probes, as the platform does. */
export class Balancer {
  readonly #instances: readonly SoakInstance[];

  readonly #missedProbes = new Map<SoakInstance, number>();

  #timer: NodeJS.Timeout | undefined;

  constructor(instances: readonly SoakInstance[]) {
    this.#instances = instances;
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.#instances.forEach((instance) => {
        void this.#probe(instance);
      });
    }, PROBE_INTERVAL_MILLISECONDS);
  }

  /** Instances that get new connections. */
  get inRotation(): readonly SoakInstance[] {
    return this.#instances.filter(
      (one) => (this.#missedProbes.get(one) ?? MAXIMUM_MISSES) < MAXIMUM_MISSES,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #probe(instance: SoakInstance): Promise<void> {
    const lifetime = instance.latestLifetime;
    const isReady = await this.#isReady(instance.host);
    if (isReady) this.#missedProbes.set(instance, 0);
    else this.#missedProbes.set(instance, (this.#missedProbes.get(instance) ?? MAXIMUM_MISSES) + 1);
    if (!isReady || lifetime !== instance.latestLifetime) return;
    const respondedAt = performance.now();
    lifetime.readyAt ??= respondedAt;
    lifetime.lastReadyAt = respondedAt;
  }

  async #isReady(host: string): Promise<boolean> {
    try {
      const response = await request(
        `http://${host}:${PLATFORM_PORTS.readiness}${READINESS_PATH}`,
        {
          reset: true,
          signal: AbortSignal.timeout(PROBE_INTERVAL_MILLISECONDS),
        },
      );
      await response.body.dump();
      return response.statusCode === STATUS_OK;
    } catch {
      return false;
    }
  }
}
