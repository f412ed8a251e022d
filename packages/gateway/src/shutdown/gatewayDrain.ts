import type { ServerResponse } from 'node:http';
import type { Logger, Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import type { OpenCall } from '../calls/openCall';
import type { OpenCalls } from '../calls/openCalls';
import type { IngressServer } from '../ingress/ingressServer';
import { admitDuringDrain } from './admitDuringDrain';
import type { DrainAdmission } from './admitDuringDrain';
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

  #servedBefore = 0;

  #refusedBefore = 0;

  #cutOffCount = 0;

  constructor(parts: GatewayDrainParts) {
    this.#parts = parts;
  }

  get state(): DrainState {
    return this.#state;
  }

  /** Decides on a request that arrives now, by the longest time until its answer. */
  admit(remainingMilliseconds: number): DrainAdmission {
    const nowMilliseconds = performance.now();
    return admitDuringDrain(this.#state, this.#parts.times(), {
      nowMilliseconds,
      remainingMilliseconds,
    });
  }

  /** Makes an answer the last of its connection during a drain; returns whether it is. */
  closeAfter(response: ServerResponse): boolean {
    if (this.#state.kind === 'serving') return false;
    return this.#parts.ingress()?.closeAfter(response) ?? true;
  }

  /** Fails readiness, outlasts the balancer's lag, waits for requests under way, and closes. */
  async run(): Promise<void> {
    this.#begin();
    const progress = setInterval(() => this.#logProgress(), PROGRESS_MILLISECONDS);
    try {
      await this.#finishCalls();
    } finally {
      clearInterval(progress);
    }
    this.#close();
  }

  /** Closes in the same turn as the last check, so that no request is taken in between. */
  #close(): void {
    const { calls, ingress } = this.#parts;
    this.#state = { kind: 'closed', sinceMilliseconds: this.#stopMilliseconds };
    calls.all.forEach((open) => this.#cutOff(open));
    this.#logEnd();
    ingress()?.closeNow();
  }

  #cutOff({ id, call, response, ageMilliseconds }: OpenCall): void {
    this.#cutOffCount += 1;
    this.#parts.logger.warn('call.cut-off', {
      request: id,
      target: call?.target,
      hasAnswerBegun: response.headersSent,
      ageMilliseconds: Math.round(ageMilliseconds),
      sinceStopMilliseconds: Math.round(this.#sinceStopMilliseconds),
    });
  }

  #logEnd(): void {
    const { calls, logger } = this.#parts;
    const { served, refused } = this.#counts;
    const { metrics } = this.#parts;
    metrics.increment('drain.calls', served, { result: 'served' });
    metrics.increment('drain.calls', refused, { result: 'refused' });
    metrics.increment('drain.calls', this.#cutOffCount, { result: 'cut-off' });
    logger.info('gateway.stopped', {
      underWay: calls.size,
      served,
      refused,
      cutOff: this.#cutOffCount,
      sinceStopMilliseconds: Math.round(this.#sinceStopMilliseconds),
    });
  }

  #begin(): void {
    const { calls, ingress, times, logger } = this.#parts;
    this.#state = { kind: 'draining', sinceMilliseconds: performance.now() };
    this.#servedBefore = calls.ended('served');
    this.#refusedBefore = calls.ended('refused');
    logger.info('gateway.draining', {
      underWay: calls.size,
      connections: ingress()?.connectionCount ?? 0,
      graceMilliseconds: times().graceMilliseconds,
    });
  }

  /**
   * Goes on accepting connections while requests are under way: after its lag the balancer sends new
   * ones only where it has no better instance, as when all restart at once.
   */
  async #finishCalls(): Promise<void> {
    const { ingress, times } = this.#parts;
    await delay(times().readinessLagMilliseconds);
    const { graceMilliseconds, answerReserveMilliseconds, exitReserveMilliseconds } = times();
    const lastAnswersMilliseconds = graceMilliseconds - answerReserveMilliseconds;
    await this.#waitUntil(lastAnswersMilliseconds, () => this.#openRequests === 0);
    ingress()?.stopAccepting();
    const stoppedAccepting = performance.now();
    await this.#waitUntil(lastAnswersMilliseconds, () => this.#isQuiet(stoppedAccepting));
    this.#endCalls();
    const closeMilliseconds = graceMilliseconds - exitReserveMilliseconds;
    await this.#waitUntil(closeMilliseconds, () => this.#openRequests === 0);
  }

  /** Sweeps idle connections until a condition holds, up to a time since the stop signal. */
  async #waitUntil(limitMilliseconds: number, isReached: () => boolean): Promise<void> {
    const { ingress } = this.#parts;
    while (this.#sinceStopMilliseconds < limitMilliseconds) {
      ingress()?.closeIdleConnections();
      if (isReached()) return;
      await delay(CHECK_MILLISECONDS);
    }
  }

  /** Whether no request is under way and none can be on its way on a connection just accepted. */
  #isQuiet(stoppedAcceptingMilliseconds: number): boolean {
    if (this.#openRequests > 0) return false;
    if ((this.#parts.ingress()?.connectionCount ?? 0) === 0) return true;
    return performance.now() - stoppedAcceptingMilliseconds >= FIRST_REQUEST_MILLISECONDS;
  }

  get #openRequests(): number {
    return this.#parts.ingress()?.openRequests ?? 0;
  }

  /** Ends every call with a final answer; a stream that has begun can only be cut off. */
  #endCalls(): void {
    const { calls } = this.#parts;
    calls.all.filter(({ response }) => response.headersSent).forEach((open) => this.#cutOff(open));
    calls.endNow();
  }

  #logProgress(): void {
    const { calls, ingress, times, logger } = this.#parts;
    const { graceMilliseconds } = times();
    logger.info('gateway.drain-progress', {
      underWay: calls.size,
      connections: ingress()?.connectionCount ?? 0,
      ...this.#counts,
      oldestMilliseconds: Math.round(calls.oldestAgeMilliseconds),
      graceLeftMilliseconds: Math.round(graceMilliseconds - this.#sinceStopMilliseconds),
    });
  }

  get #counts(): { readonly served: number; readonly refused: number } {
    const { calls } = this.#parts;
    return {
      served: calls.ended('served') - this.#servedBefore,
      refused: calls.ended('refused') - this.#refusedBefore,
    };
  }

  get #sinceStopMilliseconds(): number {
    return performance.now() - this.#stopMilliseconds;
  }

  /** When the stop signal came; now, where it has not come yet. */
  get #stopMilliseconds(): number {
    return this.#state.kind === 'serving' ? performance.now() : this.#state.sinceMilliseconds;
  }
}
