import type { Logger, Metrics } from '@limpetnotch/observability';
import type { OpenCall } from '../calls/openCall';
import type { OpenCalls } from '../calls/openCalls';

/** What a {@link DrainReport} is made of. */
export interface DrainReportParts {
  readonly calls: OpenCalls;
  /** Connections of callers that are open. */
  readonly connections: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Logs and counts what becomes of requests from the stop signal on. */
export class DrainReport {
  readonly #parts: DrainReportParts;

  readonly #beganMilliseconds = performance.now();

  readonly #servedBefore: number;

  readonly #refusedBefore: number;

  #cutOff = 0;

  constructor(parts: DrainReportParts, graceMilliseconds: number) {
    const { calls, connections, logger } = parts;
    this.#parts = parts;
    this.#servedBefore = calls.ended('served');
    this.#refusedBefore = calls.ended('refused');
    logger.info('gateway.draining', {
      underWay: calls.size,
      connections: connections(),
      graceMilliseconds,
    });
  }

  /** Logs how far the drain has come. */
  progress(graceMilliseconds: number): void {
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

  /** Logs a request whose caller loses its answer. */
  cutOff({ id, call, response, ageMilliseconds }: OpenCall): void {
    this.#cutOff += 1;
    this.#parts.logger.warn('call.cut-off', {
      request: id,
      target: call?.target,
      hasAnswerBegun: response.headersSent,
      ageMilliseconds: Math.round(ageMilliseconds),
      sinceStopMilliseconds: Math.round(this.#sinceStopMilliseconds),
    });
  }

  /** Logs and counts the whole of it. */
  end(): void {
    const { calls, logger, metrics } = this.#parts;
    metrics.increment('drain.calls', this.#served, { result: 'served' });
    metrics.increment('drain.calls', this.#refused, { result: 'refused' });
    metrics.increment('drain.calls', this.#cutOff, { result: 'cut-off' });
    logger.info('gateway.stopped', {
      underWay: calls.size,
      served: this.#served,
      refused: this.#refused,
      cutOff: this.#cutOff,
      sinceStopMilliseconds: Math.round(this.#sinceStopMilliseconds),
    });
  }

  get #served(): number {
    return this.#parts.calls.ended('served') - this.#servedBefore;
  }

  get #refused(): number {
    return this.#parts.calls.ended('refused') - this.#refusedBefore;
  }

  get #sinceStopMilliseconds(): number {
    return performance.now() - this.#beganMilliseconds;
  }
}
