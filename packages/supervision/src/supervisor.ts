import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ChildContext, ChildSpecification } from './childSpecification';
import { Deferred } from './deferred';
import { delay } from './delay';
import { untilAborted } from './untilAborted';

const DEFAULT_MAXIMUM_RESTARTS = 8;
const DEFAULT_WINDOW_MILLISECONDS = 30_000;
const FIRST_BACKOFF_MILLISECONDS = 100;
const MAXIMUM_BACKOFF_MILLISECONDS = 5_000;

/** Options of a {@link Supervisor}. */
export interface SupervisorOptions {
  readonly name: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Restarts of one child allowed within the window; one more fails the supervisor. 8 by default. */
  readonly maximumRestarts?: number;
  /** Window in which restarts are counted, in milliseconds; 30 seconds by default. */
  readonly windowMilliseconds?: number;
}

interface RunningChild {
  readonly specification: ChildSpecification;
  readonly controller: AbortController;
  readonly finished: Promise<void>;
}

/**
 * Starts children in order, restarts failed children with a bounded backoff, and stops children in
 * reverse order. Too many restarts of one child stop all children and fail the supervisor, which
 * escalates the failure to its own parent.
 */
export class Supervisor {
  readonly #options: SupervisorOptions;

  readonly #children: RunningChild[] = [];

  readonly #failed = new Deferred<never>();

  constructor(options: SupervisorOptions) {
    this.#options = options;
  }

  /** Starts a child; resolves when it is ready or has ended, and rejects if the supervisor failed. */
  async startChild(specification: ChildSpecification): Promise<void> {
    const controller = new AbortController();
    const ready = new Deferred();
    const finished = this.#supervise(specification, controller.signal, () =>
      ready.resolve(undefined),
    );
    this.#children.push({ specification, controller, finished });
    await Promise.race([ready.promise, finished, this.#failed.promise]);
  }

  /** Starts children in order, each after the previous one is ready, until the signal aborts. */
  async startChildren(
    specifications: readonly ChildSpecification[],
    signal: AbortSignal,
  ): Promise<void> {
    const aborted = untilAborted(signal);
    for (const specification of specifications) {
      if (signal.aborted) return;
      await Promise.race([this.startChild(specification), aborted]);
    }
  }

  /** Stops and removes one child; does nothing if no child has the name. */
  async stopChild(name: string): Promise<void> {
    const index = this.#children.findIndex((child) => child.specification.name === name);
    const [child] = index < 0 ? [] : this.#children.splice(index, 1);
    if (!child) return;
    child.controller.abort();
    await child.finished;
  }

  /** Stops all children in reverse order of their start. */
  async stop(): Promise<void> {
    while (this.#children.length > 0) {
      const child = this.#children.pop();
      child?.controller.abort();
      await child?.finished;
    }
  }

  /**
   * Runs until the signal aborts, and resolves when all children have stopped; rejects when a child
   * failed too often.
   */
  async run(signal: AbortSignal): Promise<void> {
    const aborted = new Deferred();
    if (signal.aborted) aborted.resolve(undefined);
    signal.addEventListener('abort', () => aborted.resolve(undefined), { once: true });
    try {
      await Promise.race([aborted.promise, this.#failed.promise]);
    } finally {
      await this.stop();
    }
  }

  /** Wraps this supervisor as a child of another one. */
  asChild(start: () => Promise<void>): ChildSpecification {
    return {
      name: this.#options.name,
      restart: 'never',
      run: async (context: ChildContext) => {
        await start();
        context.ready();
        await this.run(context.signal);
      },
    };
  }

  async #supervise(
    specification: ChildSpecification,
    signal: AbortSignal,
    ready: () => void,
  ): Promise<void> {
    const restartTimes: number[] = [];
    while (!signal.aborted) {
      const failure = await this.#runOnce(specification, signal, ready);
      if (signal.aborted) return;
      if (specification.restart === 'never' && failure === undefined) return;
      if (this.#exceedsRestartLimit(restartTimes) || specification.restart === 'never') {
        this.#escalate(specification, failure);
        return;
      }
      await delay(Supervisor.#computeBackoffMilliseconds(restartTimes.length), signal);
    }
  }

  async #runOnce(
    specification: ChildSpecification,
    signal: AbortSignal,
    ready: () => void,
  ): Promise<unknown> {
    try {
      await specification.run({ signal, ready });
      return undefined;
    } catch (error) {
      if (signal.aborted) return undefined;
      const reason = error instanceof Error ? error.message : String(error);
      this.#options.metrics.increment('supervisor.failures', 1, { child: specification.name });
      this.#options.logger.warn('supervisor.child-failed', { child: specification.name, reason });
      return error;
    }
  }

  #exceedsRestartLimit(restartTimes: number[]): boolean {
    const now = Date.now();
    const window = this.#options.windowMilliseconds ?? DEFAULT_WINDOW_MILLISECONDS;
    restartTimes.push(now);
    while ((restartTimes[0] ?? now) < now - window) restartTimes.shift();
    return restartTimes.length > (this.#options.maximumRestarts ?? DEFAULT_MAXIMUM_RESTARTS);
  }

  #escalate(specification: ChildSpecification, failure: unknown): void {
    const reason = failure instanceof Error ? failure.message : 'returned before it was stopped';
    this.#options.logger.error('supervisor.escalated', { child: specification.name, reason });
    this.#failed.reject(new Error(`${this.#options.name}: ${specification.name}: ${reason}`));
  }

  static #computeBackoffMilliseconds(restarts: number): number {
    return Math.min(MAXIMUM_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** restarts);
  }
}
