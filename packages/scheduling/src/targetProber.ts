import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { ProbeTarget, Scheduler } from './scheduler';

/** Sends probes to targets. */
export interface ProbePort {
  /** Checks a target's health on a new connection; must settle within the timeout. */
  probe(target: ProbeTarget, timeoutMilliseconds: number): Promise<boolean>;
}

/** Options of a {@link TargetProber}. */
export interface TargetProberOptions {
  readonly scheduler: Scheduler;
  readonly port: ProbePort;
  /** Interval between rounds, and timeout of each probe, in milliseconds. */
  readonly intervalMilliseconds: number;
}

/** Probes the targets without a success in the last interval, on new connections. */
export class TargetProber {
  readonly #options: TargetProberOptions;

  constructor(options: TargetProberOptions) {
    this.#options = options;
  }

  /** Returns the prober as a child of the supervision tree. */
  asChild(): ChildSpecification {
    return { name: 'target-prober', restart: 'always', run: (context) => this.#run(context) };
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      await Promise.all(
        this.#options.scheduler.targetsToProbe().map((target) => this.#probe(target)),
      );
      await delay(this.#options.intervalMilliseconds, signal);
    }
  }

  async #probe(target: ProbeTarget): Promise<void> {
    const { port, scheduler, intervalMilliseconds } = this.#options;
    const healthy = await port.probe(target, intervalMilliseconds).catch(() => false);
    scheduler.recordProbe(target.name, healthy);
  }
}
