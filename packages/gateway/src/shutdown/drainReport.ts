import type { Logger, Metrics } from '@limpetnotch/observability';
import type { OpenCall, OpenCallEnd } from '../calls/openCall';
import type { OpenCalls } from '../calls/openCalls';

/** Parts of a {@link DrainReport}. */
export interface DrainReportParts {
  readonly calls: OpenCalls;
  /** Number of open caller connections. */
  readonly connections: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Logs and counts the outcomes of requests from the stop signal on. */
export class DrainReport {
  readonly #parts: DrainReportParts;

  readonly #startedAtMilliseconds = performance.now();

  readonly #servedBefore: number;

  readonly #refusedBefore: number;

  readonly #cutOff = new Set<OpenCall>();

  constructor(parts: DrainReportParts, graceMilliseconds: number) {
    const { calls, connections, logger } = parts;
    this.#parts = parts;
    this.#servedBefore = DrainReport.#countDelivered(calls, 'served');
    this.#refusedBefore = DrainReport.#countDelivered(calls, 'refused');
    logger.info('gateway.draining', {
      underWay: calls.size,
      connections: connections(),
      graceMilliseconds,
    });
  }

  /** Logs the progress of the drain. */
  logProgress(graceMilliseconds: number): void {
    const { calls, connections, logger } = this.#parts;
    logger.info('gateway.drain-progress', {
      underWay: calls.size,
      connections: connections(),
      served: this.#served,
      refused: this.#refused,
      oldestMilliseconds: Math.round(calls.oldestAgeMilliseconds),
      graceLeftMilliseconds: Math.round(graceMilliseconds - this.#sinceStopMilliseconds),
    });
  }

  /** Logs a request whose caller loses its response. */
  recordCutOff(open: OpenCall): void {
    if (this.#cutOff.has(open)) return;
    this.#cutOff.add(open);
    const { id, call, response, ageMilliseconds } = open;
    this.#parts.logger.warn('call.cut-off', {
      request: id,
      target: call?.target,
      hasAnswerBegun: response.headersSent,
      ageMilliseconds: Math.round(ageMilliseconds),
      sinceStopMilliseconds: Math.round(this.#sinceStopMilliseconds),
    });
  }

  /** Logs the totals of the drain and adds them to the metrics. */
  logEnd(): void {
    const { calls, logger, metrics } = this.#parts;
    metrics.increment('drain.calls', this.#served, { result: 'served' });
    metrics.increment('drain.calls', this.#refused, { result: 'refused' });
    metrics.increment('drain.calls', this.#cutOff.size, { result: 'cut-off' });
    logger.info('gateway.stopped', {
      underWay: calls.size,
      served: this.#served,
      refused: this.#refused,
      cutOff: this.#cutOff.size,
      sinceStopMilliseconds: Math.round(this.#sinceStopMilliseconds),
    });
  }

  get #served(): number {
    return this.#countEnded('served') - this.#servedBefore;
  }

  get #refused(): number {
    return this.#countEnded('refused') - this.#refusedBefore;
  }

  /** Counts requests that ended in one way and whose responses were not cut off afterwards. */
  #countEnded(end: OpenCallEnd): number {
    const cutOff = [...this.#cutOff].filter((open) => open.end === end);
    return this.#parts.calls.countEnded(end) - cutOff.length;
  }

  get #sinceStopMilliseconds(): number {
    return performance.now() - this.#startedAtMilliseconds;
  }

  /** Counts requests whose responses had left this process completely by the stop signal. */
  static #countDelivered(calls: OpenCalls, end: OpenCallEnd): number {
    return calls.countEnded(end) - calls.unflushed.filter((open) => open.end === end).length;
  }
}
