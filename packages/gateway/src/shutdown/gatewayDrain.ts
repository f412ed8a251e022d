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

/** How often a drain looks whether requests are under way; short against any answer. */
const CHECK_MILLISECONDS = 50;

/** A request follows the handshake of its connection within a round trip between zones. */
const FIRST_REQUEST_MILLISECONDS = 250;

/** A line a second stays readable over the longest grace periods. */
const PROGRESS_MILLISECONDS = 1_000;

/** Parts of a {@link GatewayDrain}. */
export interface GatewayDrainParts {
  readonly calls: OpenCalls;
  /** Server of the callers; undefined until it has started. */
  readonly ingress: () => IngressServer | undefined;
  readonly times: () => DrainTimes;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Ends the service of an instance: lets requests under way finish before connections close. */
export class GatewayDrain {
  readonly #parts: GatewayDrainParts;

  #state: DrainState = { kind: 'serving' };

  /** Times in force at the stop signal, from which on the end of the process is counted. */
  #timesAtStop: DrainTimes | undefined;

  constructor(parts: GatewayDrainParts) {
    this.#parts = parts;
  }

  get state(): DrainState {
    return this.#state;
  }

  /** Decides on a request that arrives now, by the longest time until its answer. */
  admit(remainingMilliseconds: number): DrainAdmission {
    const nowMilliseconds = performance.now();
    return admitDuringDrain(this.#state, this.#times, {
      nowMilliseconds,
      remainingMilliseconds,
    });
  }

  /** Makes an answer the last of its connection during a drain; returns whether it is. */
  closeAfter(response: ServerResponse): boolean {
    if (this.#state.kind === 'serving') return false;
    return this.#ingress?.closeAfter(response) ?? true;
  }

  /** Fails readiness, outlasts the balancer's lag, waits for requests under way, and closes. */
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
    const progress = setInterval(
      () => report.progress(this.#times.graceMilliseconds),
      PROGRESS_MILLISECONDS,
    );
    await this.#finishCalls(report);
    clearInterval(progress);
    // In the turn of the last check, so that no request is taken in between.
    this.#state = { kind: 'closed', sinceMilliseconds };
    [...calls.all, ...calls.leaving].forEach((open) => report.cutOff(open));
    report.end();
    this.#ingress?.closeNow();
  }

  /**
   * Goes on accepting connections while requests are under way: after its lag the balancer sends new
   * ones only where it has no better instance, as when all restart at once.
   */
  async #finishCalls(report: DrainReport): Promise<void> {
    const { readinessLagMilliseconds } = this.#times;
    await delay(Math.min(readinessLagMilliseconds, this.#lastAnswersMilliseconds));
    const { answerReserveMilliseconds, exitReserveMilliseconds } = this.#times;
    const lastAnswersMilliseconds = this.#lastAnswersMilliseconds;
    await this.#waitUntil(lastAnswersMilliseconds, () => this.#openRequests === 0);
    this.#ingress?.stopAccepting();
    const stoppedAccepting = performance.now();
    await this.#waitUntil(lastAnswersMilliseconds, () => this.#isQuiet(stoppedAccepting));
    this.#endCalls(report);
    if (this.#openRequests === 0) return;
    // From now on, not from the signal: the answers need their time also after a pause of the process.
    const answersMilliseconds = answerReserveMilliseconds - exitReserveMilliseconds;
    const closeMilliseconds = this.#sinceStopMilliseconds + answersMilliseconds;
    await delay(CHECK_MILLISECONDS);
    await this.#waitUntil(closeMilliseconds, () => this.#openRequests === 0);
  }

  /** Sweeps idle connections until a condition holds, up to a time since the stop signal. */
  async #waitUntil(limitMilliseconds: number, isReached: () => boolean): Promise<void> {
    while (this.#sinceStopMilliseconds < limitMilliseconds) {
      this.#ingress?.closeIdleConnections();
      if (isReached()) return;
      await delay(CHECK_MILLISECONDS);
    }
  }

  /** Whether no request is under way and none can be on its way on a connection just accepted. */
  #isQuiet(stoppedAcceptingMilliseconds: number): boolean {
    if (this.#openRequests > 0) return false;
    if ((this.#ingress?.connectionCount ?? 0) === 0) return true;
    return performance.now() - stoppedAcceptingMilliseconds >= FIRST_REQUEST_MILLISECONDS;
  }

  get #times(): DrainTimes {
    return this.#timesAtStop ?? this.#parts.times();
  }

  /** When calls under way get their last answers, from the stop signal on. */
  get #lastAnswersMilliseconds(): number {
    const { graceMilliseconds, answerReserveMilliseconds } = this.#times;
    return Math.max(0, graceMilliseconds - answerReserveMilliseconds);
  }

  get #ingress(): IngressServer | undefined {
    return this.#parts.ingress();
  }

  get #openRequests(): number {
    return this.#ingress?.openRequests ?? 0;
  }

  /** Ends every call with a final answer; a stream that has begun can only be cut off. */
  #endCalls(report: DrainReport): void {
    const { calls } = this.#parts;
    calls.all.filter(({ response }) => response.headersSent).forEach((open) => report.cutOff(open));
    calls.endNow();
  }

  get #sinceStopMilliseconds(): number {
    return this.#state.kind === 'serving' ? 0 : performance.now() - this.#state.sinceMilliseconds;
  }
}
