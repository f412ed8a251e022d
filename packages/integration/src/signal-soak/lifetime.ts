import type { InstanceCut, SoakSignal } from './soakFault';

/** State of a process when it received a signal. */
export type ProcessState = 'starting' | 'serving' | 'draining';

/** A sent signal. */
export interface SentSignal {
  readonly signal: SoakSignal;
  readonly at: number;
  readonly state: ProcessState;
}

/** A time in which an instance was cut off from all targets. */
export interface CutSpan {
  readonly mode: InstanceCut['mode'];
  readonly from: number;
  /** Infinity until the cut has ended. */
  to: number;
}

/** One process of an instance, from its start to its end. */
export class Lifetime {
  readonly name: string;

  readonly spawnedAt = performance.now();

  readonly signals: SentSignal[] = [];

  /** When a readiness probe first returned 200. */
  readyAt: number | undefined;

  /** When a readiness probe last returned 200. */
  lastReadyAt: number | undefined;

  endedAt: number | undefined;

  /** Exit code, or the signal that ended the process. */
  end: number | string | undefined;

  /** Whether it had to be killed because its grace period had expired. */
  hasOverrun = false;

  /** Cuts of its instance. */
  readonly #cuts: readonly CutSpan[];

  constructor(name: string, cuts: readonly CutSpan[] = []) {
    this.name = name;
    this.#cuts = cuts;
  }

  /** When the process was first signalled to stop. */
  get stoppedAt(): number | undefined {
    return this.signals.find(({ signal }) => signal === 'SIGTERM' || signal === 'SIGINT')?.at;
  }

  get state(): ProcessState {
    if (this.stoppedAt !== undefined) return 'draining';
    return this.readyAt === undefined ? 'starting' : 'serving';
  }

  get wasKilled(): boolean {
    return this.signals.some(({ signal }) => signal === 'SIGKILL');
  }

  get wasPaused(): boolean {
    return this.signals.some(({ signal }) => signal === 'SIGSTOP');
  }

  /** Whether the process was killed or paused at any time within a span. */
  isDisturbed(from: number, to: number): boolean {
    return this.signals.some(({ signal, at }, index) => {
      if (signal === 'SIGKILL') return at <= to;
      if (signal !== 'SIGSTOP') return false;
      const rest = this.signals.slice(index + 1);
      const resumed = rest.find((later) => later.signal === 'SIGCONT')?.at ?? Infinity;
      return at <= to && resumed >= from;
    });
  }

  /** Whether open connections to all targets were lost at any time within a span. */
  hasLostConnections(from: number, to: number, modes: readonly CutSpan['mode'][]): boolean {
    return this.#cuts.some(
      (span) => modes.includes(span.mode) && span.from <= to && span.to >= from,
    );
  }

  /** Lists the last six signals before a moment, each with its state and age. */
  describeSignals(moment: number): string {
    const before = this.signals.filter(({ at }) => at <= moment);
    const ages = before.map(
      ({ signal, at, state }) => `${signal} (${state}) ${Math.round(moment - at)} ms before`,
    );
    return ages.length === 0 ? 'no signal' : ages.slice(-6).join(', ');
  }
}
