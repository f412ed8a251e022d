import type { Socket } from 'node:net';
import { performance as runtimePerformance } from 'node:perf_hooks';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { IngressObserver } from '../ingress/ingressObserver';
import type { ProbeAddress, ProbeResult } from './acceptProbe';
import { AcceptProbe } from './acceptProbe';

const PROBE_INTERVAL_MILLISECONDS = 100;

/** Share of its time for which the event loop must have worked before connections can queue. */
const BUSY_UTILIZATION = 0.5;

/** A probe that was lost on its way says nothing about the queue. */
const LONGEST_PROBE_MILLISECONDS = 5_000;

/** Waits from which an instance counts as behind, and below which it no longer does. */
const BEHIND_MILLISECONDS = 100;
const CAUGHT_UP_MILLISECONDS = 50;

/** Interval of log lines while an instance is behind. */
const REPORT_MILLISECONDS = 1_000;

/** Parts of an {@link IngressLoad}. */
export interface IngressLoadParts {
  /** Address of the listener; undefined while it accepts no connections. */
  readonly address: () => ProbeAddress | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the share of the time since the last call for which the event loop worked. */
  readonly measureUtilization?: () => number;
}

/** Returns a function that measures the utilization of the event loop between its calls. */
const createUtilizationMeter = (): (() => number) => {
  let last = runtimePerformance.eventLoopUtilization();
  return () => {
    const now = runtimePerformance.eventLoopUtilization();
    const { utilization } = runtimePerformance.eventLoopUtilization(now, last);
    last = now;
    return utilization;
  };
};

/** Longest waits since the last log line, in milliseconds. */
interface LongestWaits {
  accept: number;
  firstRequest: number;
  handler: number;
  /** By how much a timer was late, which is the length of a turn of the event loop. */
  timer: number;
}

const createWaits = (): LongestWaits => ({ accept: 0, firstRequest: 0, handler: 0, timer: 0 });

/** How long callers wait until this process reads their requests. */
export class IngressLoad implements IngressObserver {
  readonly #parts: IngressLoadParts;

  readonly #measureUtilization: () => number;

  #probe: AcceptProbe | undefined;

  /** Wait of the last probe that ended, in milliseconds. */
  #lastWaitMilliseconds = 0;

  #waits = createWaits();

  #utilization = 0;

  #isBehind = false;

  #reportedAtMilliseconds = -Infinity;

  #hasFailed = false;

  constructor(parts: IngressLoadParts) {
    this.#parts = parts;
    this.#measureUtilization = parts.measureUtilization ?? createUtilizationMeter();
  }

  /** Time that a connection waits until it is accepted, in milliseconds; at least this long. */
  get waitMilliseconds(): number {
    return Math.max(this.#lastWaitMilliseconds, this.#probe?.ageMilliseconds ?? 0);
  }

  /** Task that measures the wait. */
  get task(): ChildSpecification {
    return {
      name: 'ingress-load',
      restart: 'always',
      run: async ({ signal, ready }) => {
        ready();
        while (!signal.aborted) {
          const startedAt = performance.now();
          await delay(PROBE_INTERVAL_MILLISECONDS, signal);
          const late = performance.now() - startedAt - PROBE_INTERVAL_MILLISECONDS;
          this.#waits.timer = Math.max(this.#waits.timer, late);
          this.#check();
        }
        this.#endProbe();
      },
    };
  }

  onConnection(socket: Socket): void {
    this.#probe?.onConnection(socket);
  }

  onFirstRequest(milliseconds: number): void {
    this.#waits.firstRequest = Math.max(this.#waits.firstRequest, milliseconds);
    this.#parts.metrics.distribution('ingress.first-request-milliseconds', milliseconds);
  }

  onHandled(milliseconds: number): void {
    this.#waits.handler = Math.max(this.#waits.handler, milliseconds);
    this.#parts.metrics.distribution('ingress.handler-milliseconds', milliseconds);
  }

  #check(): void {
    this.#utilization = this.#measureUtilization();
    this.#parts.metrics.gauge('event-loop.utilization', this.#utilization);
    this.#checkProbe();
    this.#report();
  }

  #checkProbe(): void {
    if (this.#utilization < BUSY_UTILIZATION) {
      this.#endProbe();
      return;
    }
    if (!this.#probe) this.#startProbe();
    if ((this.#probe?.ageMilliseconds ?? 0) <= LONGEST_PROBE_MILLISECONDS) return;
    this.#endProbe();
    this.#recordProbe({ kind: 'failed', code: 'ETIMEDOUT' });
  }

  /** Ends the probe under way, and forgets the last wait. */
  #endProbe(): void {
    this.#probe?.abandon();
    this.#probe = undefined;
    this.#lastWaitMilliseconds = 0;
  }

  #startProbe(): void {
    const address = this.#parts.address();
    if (!address) {
      this.#lastWaitMilliseconds = 0;
      return;
    }
    this.#probe = new AcceptProbe(address, (result) => this.#recordProbe(result));
  }

  #recordProbe(result: ProbeResult): void {
    this.#probe = undefined;
    switch (result.kind) {
      case 'accepted':
        this.#hasFailed = false;
        this.#lastWaitMilliseconds = result.milliseconds;
        if (result.milliseconds >= CAUGHT_UP_MILLISECONDS) this.#startProbe();
        this.#waits.accept = Math.max(this.#waits.accept, result.milliseconds);
        this.#parts.metrics.distribution('ingress.accept-milliseconds', result.milliseconds);
        return;
      case 'failed':
        this.#lastWaitMilliseconds = 0;
        if (!this.#hasFailed) {
          this.#parts.logger.warn('ingress.probe-failed', { code: result.code });
        }
        this.#hasFailed = true;
    }
  }

  /** Logs changes of the belief that this instance is behind, and its waits while it is. */
  #report(): void {
    const threshold = this.#isBehind ? CAUGHT_UP_MILLISECONDS : BEHIND_MILLISECONDS;
    const isBehind = this.waitMilliseconds >= threshold;
    const now = performance.now();
    const isDue = isBehind && now - this.#reportedAtMilliseconds >= REPORT_MILLISECONDS;
    if (isBehind === this.#isBehind && !isDue) return;
    this.#isBehind = isBehind;
    this.#reportedAtMilliseconds = now;
    this.#parts.logger.info(isBehind ? 'ingress.behind' : 'ingress.caught-up', {
      waitMilliseconds: Math.round(this.waitMilliseconds),
      utilization: Number(this.#utilization.toFixed(2)),
      acceptMilliseconds: Math.round(this.#waits.accept),
      firstRequestMilliseconds: Math.round(this.#waits.firstRequest),
      handlerMilliseconds: Math.round(this.#waits.handler),
      timerLateMilliseconds: Math.round(this.#waits.timer),
    });
    this.#waits = createWaits();
  }
}
