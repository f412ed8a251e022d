import type { Logger, Metrics } from '@limpetnotch/observability';
import type { RefusedRequest } from '@limpetnotch/scheduling';
import { FullServiceQueue } from '@limpetnotch/scheduling';
import { Deferred } from '@limpetnotch/supervision';
import { computeLongestWait } from '../limits/computeLongestWait';
import type { LimitedDispatch } from '../limits/limitedDispatch';
import type { AttemptOutcome } from './attemptOutcome';
import type { Call } from './call';

/** Waiting calls of one service; their bodies are at most a few percent of the smallest memory. */
const WAIT_BOUNDS = { requests: 256, bytes: 8 * 1024 * 1024 };

/** Other instances free slots as well, without this one hearing of it. */
const RETRY_MILLISECONDS = 50;

const MILLISECONDS_PER_SECOND = 1_000;

/** Whether a call that found all targets full is tried again. */
export type FullServiceDecision =
  | { readonly kind: 'retry' }
  /** Without a time to return if the targets were not full. */
  | { readonly kind: 'refuse'; readonly retryAfterSeconds?: number };

type WaitEnd = 'retry' | 'refused' | 'ended';

interface WaitingCall extends RefusedRequest {
  readonly finish: (end: WaitEnd) => void;
}

/** Dependencies of a {@link FullServiceWait}. */
export interface FullServiceWaitParts {
  readonly limitedDispatch: Pick<LimitedDispatch, 'isUnderWay'>;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Lets calls of programs under way wait for full targets, and refuses others with a time to return. */
export class FullServiceWait {
  readonly #parts: FullServiceWaitParts;

  readonly #queues = new Map<string, FullServiceQueue<WaitingCall>>();

  readonly #waitedMilliseconds = new WeakMap<Call, number>();

  constructor(parts: FullServiceWaitParts) {
    this.#parts = parts;
  }

  /** Records that a call ended at its target, and lets the next waiting call try. */
  recordEnd({ service: { name } }: Call): void {
    const queue = this.#getQueue(name);
    queue.recordEnd();
    queue.takeFirst()?.finish('retry');
  }

  /** Refuses a program that has not begun while calls of others wait; undefined if it may start. */
  refuseStart(call: Call): { readonly retryAfterSeconds: number } | undefined {
    const { envelope, service } = call;
    if (!envelope.program || this.#getQueue(service.name).size === 0) return undefined;
    if (this.#parts.limitedDispatch.isUnderWay(call)) return undefined;
    this.#parts.metrics.increment('contention.refused-starts');
    return { retryAfterSeconds: this.#computeRetryAfterSeconds(call) };
  }

  /** Lets a call that all targets refused wait if that is worthwhile. */
  async wait(call: Call, last: AttemptOutcome | undefined): Promise<FullServiceDecision> {
    const isFull = last?.kind === 'declined' && last.reason === 'full';
    if (!isFull || call.history.runs > 0) return { kind: 'refuse' };
    const queue = this.#getQueue(call.service.name);
    const startedAt = performance.now();
    const end = await this.#waitIn(queue, call);
    const waited = (this.#waitedMilliseconds.get(call) ?? 0) + performance.now() - startedAt;
    this.#waitedMilliseconds.set(call, waited);
    this.#parts.metrics.increment('contention.waits', 1, { end });
    if (end === 'retry') {
      call.history.forgetRefusals();
      return { kind: 'retry' };
    }
    const retryAfterSeconds = this.#computeRetryAfterSeconds(call);
    this.#parts.logger.info('contention.refused', {
      request: call.envelope.id,
      program: call.envelope.program?.id,
      service: call.service.name,
      end,
      waitedMilliseconds: Math.round(waited),
      waiting: queue.size,
      retryAfterSeconds,
    });
    return { kind: 'refuse', retryAfterSeconds };
  }

  /** Returns when a call that found all targets full should be sent again, in seconds. */
  #computeRetryAfterSeconds(call: Call): number {
    const queue = this.#getQueue(call.service.name);
    return queue.computeReturn(computeLongestWait(call)) / MILLISECONDS_PER_SECOND;
  }

  async #waitIn(queue: FullServiceQueue<WaitingCall>, call: Call): Promise<WaitEnd> {
    const ended = new Deferred<WaitEnd>();
    const request = this.#toRequest(call, (end) => ended.resolve(end));
    const end = (): void => request.finish('ended');
    call.response.once('close', end);
    call.endSignal?.addEventListener('abort', end);
    // Spread, as all calls of an overloaded moment began to wait together.
    const retry = setTimeout(
      () => this.#retry(queue, request),
      RETRY_MILLISECONDS * (1 + Math.random()),
    );
    queue.add(request).forEach(({ finish }) => finish('refused'));
    if (call.isCallerGone || call.endSignal?.aborted) end();
    const result = await ended.promise;
    clearTimeout(retry);
    queue.remove(request);
    call.response.removeListener('close', end);
    call.endSignal?.removeEventListener('abort', end);
    return result;
  }

  #retry(queue: FullServiceQueue<WaitingCall>, request: WaitingCall): void {
    queue.removeLate().forEach(({ finish }) => finish('refused'));
    request.finish('retry');
  }

  #toRequest(call: Call, finish: WaitingCall['finish']): WaitingCall {
    const { envelope, organisation, route, body } = call;
    const waited = this.#waitedMilliseconds.get(call) ?? 0;
    return {
      isUnderWay: this.#parts.limitedDispatch.isUnderWay(call),
      priority: organisation?.priority ?? route.priority,
      finishAtMilliseconds:
        call.arrivedAtMilliseconds + (envelope.program?.finishMilliseconds ?? Infinity),
      waitUntilMilliseconds: performance.now() + computeLongestWait(call) - waited,
      arrivedAtMilliseconds: call.arrivedAtMilliseconds,
      organisationShare: 0,
      bytes: body.length,
      finish,
    };
  }

  #getQueue(service: string): FullServiceQueue<WaitingCall> {
    const existing = this.#queues.get(service);
    if (existing) return existing;
    const queue = new FullServiceQueue<WaitingCall>(WAIT_BOUNDS);
    this.#queues.set(service, queue);
    return queue;
  }
}
