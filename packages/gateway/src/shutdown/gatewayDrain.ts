import type { ServerResponse } from 'node:http';
import type { Logger, Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import type { OpenCalls } from '../calls/openCalls';
import type { IngressServer } from '../ingress/ingressServer';
import { admitDuringDrain } from './admitDuringDrain';
import type { DrainAdmission } from './admitDuringDrain';
import { DrainReport } from './drainReport';
import type { DrainState } from './drainState';
import type { DrainTimes } from './drainTimes';

/** Interval between checks for open requests; short compared with any response. */
const CHECK_MILLISECONDS = 50;

/**
 * Time within which the first request follows the handshake of its connection: a round trip between
 * availability zones.
 */
const FIRST_REQUEST_MILLISECONDS = 250;

/** Interval of progress log lines; one per second stays readable over the longest grace periods. */
const PROGRESS_MILLISECONDS = 1_000;

/** Parts of a {@link GatewayDrain}. */
export interface GatewayDrainParts {
  readonly calls: OpenCalls;
  /** Server that accepts the callers; undefined until it has started. */
  readonly ingress: () => IngressServer | undefined;
  /** Number of exchanges for other instances that have not ended. */
  readonly exchangesForOthers: () => number;
  readonly times: () => DrainTimes;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Graceful shutdown of an instance: lets requests under way finish before connections close. */
export class GatewayDrain {
  readonly #parts: GatewayDrainParts;

  #state: DrainState = { kind: 'serving' };

  /** Drain times at the stop signal; later changes don't apply to a drain under way. */
  #timesAtStop: DrainTimes | undefined;

  constructor(parts: GatewayDrainParts) {
    this.#parts = parts;
  }

  get state(): DrainState {
    return this.#state;
  }

  /** Decides on a request that arrives now, by the maximum time until its response. */
  admit(remainingMilliseconds: number): DrainAdmission {
    const nowMilliseconds = performance.now();
    return admitDuringDrain(this.#state, this.#times, {
      nowMilliseconds,
      remainingMilliseconds,
    });
  }

  /** During a drain, closes the connection after a response; returns whether it does so. */
  closeAfter(response: ServerResponse): boolean {
    if (this.#state.kind === 'serving') return false;
    return this.#ingress?.closeConnectionAfter(response) ?? true;
  }

  /** Fails readiness checks, waits for the load balancer and for requests under way, and closes. */
  async run(): Promise<void> {
    const { calls, logger, metrics } = this.#parts;
    this.#timesAtStop = this.#parts.times();
    const connections = (): number => this.#ingress?.connectionCount ?? 0;
    const report = new DrainReport(
      { calls, connections, logger, metrics },
      this.#times.graceMilliseconds,
    );
    const sinceMilliseconds = performance.now();
    this.#state = { kind: 'draining', sinceMilliseconds };
    const progressTimer = setInterval(
      () => report.logProgress(this.#times.graceMilliseconds),
      PROGRESS_MILLISECONDS,
    );
    await this.#finishCalls(report);
    clearInterval(progressTimer);
    // Synchronous with the last check, so that no request is accepted in between.
    this.#state = { kind: 'closed', sinceMilliseconds };
    [...calls.all, ...calls.unflushed].forEach((open) => report.recordCutOff(open));
    report.logEnd();
    this.#ingress?.closeNow();
  }

  /**
   * Keeps accepting connections while requests are under way: after its lag the load balancer opens
   * new ones only if no other instance is ready, such as when all restart at once.
   */
  async #finishCalls(report: DrainReport): Promise<void> {
    const { readinessLagMilliseconds } = this.#times;
    await delay(Math.min(readinessLagMilliseconds, this.#lastAnswersMilliseconds));
    const { answerReserveMilliseconds, exitReserveMilliseconds } = this.#times;
    const lastAnswersMilliseconds = this.#lastAnswersMilliseconds;
    await this.#waitUntil(lastAnswersMilliseconds, () => this.#openRequests === 0);
    this.#ingress?.stopAccepting();
    const stoppedAccepting = performance.now();
    await this.#waitUntil(lastAnswersMilliseconds, () =>
      this.#hasNoPendingRequest(stoppedAccepting),
    );
    this.#endCalls(report);
    if (this.#openRequests === 0) return;
    // Counted from now, not from the signal: responses need this time even after a process pause.
    const answersMilliseconds = answerReserveMilliseconds - exitReserveMilliseconds;
    const closeMilliseconds = this.#sinceStopMilliseconds + answersMilliseconds;
    await delay(CHECK_MILLISECONDS);
    await this.#waitUntil(closeMilliseconds, () => this.#openRequests === 0);
  }

  /** Closes idle connections until a condition holds or a time since the stop signal is reached. */
  async #waitUntil(limitMilliseconds: number, isReached: () => boolean): Promise<void> {
    while (this.#sinceStopMilliseconds < limitMilliseconds) {
      this.#ingress?.closeIdleConnections();
      if (isReached()) return;
      await delay(CHECK_MILLISECONDS);
    }
  }

  /** Whether no request is open and none can be in transit on a connection accepted last. */
  #hasNoPendingRequest(stoppedAcceptingMilliseconds: number): boolean {
    if (this.#openRequests > 0) return false;
    if ((this.#ingress?.connectionCount ?? 0) === 0) return true;
    return performance.now() - stoppedAcceptingMilliseconds >= FIRST_REQUEST_MILLISECONDS;
  }

  get #times(): DrainTimes {
    return this.#timesAtStop ?? this.#parts.times();
  }

  /** Time after the stop signal at which calls under way get their final responses. */
  get #lastAnswersMilliseconds(): number {
    const { graceMilliseconds, answerReserveMilliseconds } = this.#times;
    return Math.max(0, graceMilliseconds - answerReserveMilliseconds);
  }

  get #ingress(): IngressServer | undefined {
    return this.#parts.ingress();
  }

  get #openRequests(): number {
    return (this.#ingress?.openRequests ?? 0) + this.#parts.exchangesForOthers();
  }

  /** Ends every call with a final response; a stream that has started can only be cut off. */
  #endCalls(report: DrainReport): void {
    const { calls } = this.#parts;
    calls.all
      .filter(({ response }) => response.headersSent)
      .forEach((open) => report.recordCutOff(open));
    calls.endNow();
  }

  get #sinceStopMilliseconds(): number {
    return this.#state.kind === 'serving' ? 0 : performance.now() - this.#state.sinceMilliseconds;
  }
}
