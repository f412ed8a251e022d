import { PLATFORM_PORTS, READINESS_PATH } from '@limpetnotch/stand-ins';
import { request } from 'undici';
import type { SoakInstance } from './soakInstance';

/** The platform asks each instance once a second. */
const QUESTION_MILLISECONDS = 1_000;
/** Misses after which an instance gets no new connections. */
const MISSES = 2;
const STATUS_OK = 200;

/** Decides which instances get new connections, by their readiness, as the platform does. */
export class Balancer {
  readonly #instances: readonly SoakInstance[];

  readonly #misses = new Map<SoakInstance, number>();

  #timer: NodeJS.Timeout | undefined;

  constructor(instances: readonly SoakInstance[]) {
    this.#instances = instances;
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.#instances.forEach((instance) => {
        void this.#ask(instance);
      });
    }, QUESTION_MILLISECONDS);
  }

  /** Instances that get new connections. */
  get inRotation(): readonly SoakInstance[] {
    return this.#instances.filter((one) => (this.#misses.get(one) ?? MISSES) < MISSES);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #ask(instance: SoakInstance): Promise<void> {
    const lifetime = instance.newest;
    const isReady = await this.#isReady(instance.host);
    if (isReady) this.#misses.set(instance, 0);
    else this.#misses.set(instance, (this.#misses.get(instance) ?? MISSES) + 1);
    if (!isReady || lifetime !== instance.newest) return;
    const answeredAt = performance.now();
    lifetime.readyAt ??= answeredAt;
    lifetime.lastReadyAt = answeredAt;
  }

  async #isReady(host: string): Promise<boolean> {
    try {
      const answer = await request(`http://${host}:${PLATFORM_PORTS.readiness}${READINESS_PATH}`, {
        reset: true,
        signal: AbortSignal.timeout(QUESTION_MILLISECONDS),
      });
      await answer.body.dump();
      return answer.statusCode === STATUS_OK;
    } catch {
      return false;
    }
  }
}
