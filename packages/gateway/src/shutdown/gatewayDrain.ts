import type { ServerResponse } from 'node:http';
import type { Logger, Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import type { OpenCall } from '../calls/openCall';
import type { OpenCalls } from '../calls/openCalls';
import type { IngressServer } from '../ingress/ingressServer';
import type { DrainState } from './drainState';
import type { DrainTimes } from './drainTimes';
import { mayTakeRequest } from './mayTakeRequest';

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

  /** Whether a request that arrives now is taken, by the longest time until its answer. */
  mayTake(remainingMilliseconds: number): boolean {
    const nowMilliseconds = performance.now();
    const request = { nowMilliseconds, remainingMilliseconds };
    return mayTakeRequest(this.#state, this.#parts.times(), request);
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

  async #finishCalls(): Promise<void> {
    const { ingress, times } = this.#parts;
    await delay(times().readinessLagMilliseconds);
    ingress()?.stopAccepting();
    const { graceMilliseconds, answerReserveMilliseconds, exitReserveMilliseconds } = times();
    if (await this.#waitUntilQuiet(graceMilliseconds - answerReserveMilliseconds)) return;
    this.#endCalls();
    await this.#waitUntilQuiet(graceMilliseconds - exitReserveMilliseconds);
  }

  /** Sweeps idle connections until none is in use; returns false where that takes too long. */
  async #waitUntilQuiet(untilMilliseconds: number): Promise<boolean> {
    const { ingress } = this.#parts;
    const began = performance.now();
    while (this.#sinceStopMilliseconds < untilMilliseconds) {
      ingress()?.closeIdleConnections();
      if (this.#isQuiet(performance.now() - began)) return true;
      await delay(CHECK_MILLISECONDS);
    }
    return false;
  }

  /** Ends every call with a final answer; a stream that has begun can only be cut off. */
  #endCalls(): void {
    const { calls } = this.#parts;
    calls.all.filter(({ response }) => response.headersSent).forEach((open) => this.#cutOff(open));
    calls.endNow();
  }

  /** Whether no request is under way and none can be on its way on a new connection. */
  #isQuiet(sinceAcceptingMilliseconds: number): boolean {
    const { openRequests = 0, connectionCount = 0 } = this.#parts.ingress() ?? {};
    if (openRequests > 0) return false;
    return connectionCount === 0 || sinceAcceptingMilliseconds >= FIRST_REQUEST_MILLISECONDS;
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
