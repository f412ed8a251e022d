import type { Logger, Metrics } from '@limpetnotch/observability';
import { settleWithin } from '@limpetnotch/supervision';
import type { WireCodec } from '../calls/wireCodec';
import type { FleetState } from '../fleet/fleetState';
import type { Exchange } from '../targets/exchange';
import type { ExchangeError } from '../targets/exchangeError';
import { AnswerBrokenError } from '../targets/exchangeError';
import type { FleetTarget } from '../targets/fleetTarget';
import { observeLoadReport } from '../targets/observeLoadReport';
import type { TargetConnections } from '../targets/targetConnections';
import type { TargetLoads } from '../targets/targetLoads';
import type { TargetResponse } from '../targets/targetResponse';
import { findKnownTarget } from './findKnownTarget';
import type { ForwardedPart, ForwardingFailure } from './forwardedPart';
import type { ForwardedRequest } from './forwardedRequest';
import type { PathChecker } from './pathChecker';
import type { TargetPaths } from './targetPaths';

/**
 * Exchanges for other instances at the same time; each may buffer 256 KB of a response, and the
 * smallest instances have 200 MB of memory.
 */
const MAXIMUM_EXCHANGES = 96;

/** Interval of the parts that show that the hop works while the target is at work. */
const PROGRESS_MILLISECONDS = 250;

/** Dependencies of an {@link ExchangeForwarder}. */
export interface ExchangeForwarderParts {
  readonly fleet: FleetState;
  readonly codec: Pick<WireCodec, 'encodeDispatch' | 'decodeResponse' | 'decodeResponseId'>;
  readonly connections: TargetConnections;
  readonly loads: TargetLoads;
  readonly paths: TargetPaths;
  readonly pathChecker: Pick<PathChecker, 'explainFailure'>;
  /** Returns the number of instances that share the connections of a target. */
  readonly instanceCount: () => number;
  readonly isDraining: () => boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type FailurePart = Extract<ForwardedPart, { kind: 'failure' }>;

const failed = (failure: ForwardingFailure, detail: string): FailurePart => ({
  kind: 'failure',
  failure,
  detail,
});

const TARGET_EVACUATED = failed('target-unavailable', 'evacuated');

const TARGET_UNKNOWN = failed('target-unavailable', 'unknown target');

/**
 * Sends requests of other instances, which have no path to a target, over a connection of its own.
 * It decides nothing about a request: the instance that took it from its caller counts its
 * attempts, tokens and limits. It never passes a request on to a third instance.
 */
export class ExchangeForwarder {
  readonly #parts: ExchangeForwarderParts;

  #underWay = 0;

  constructor(parts: ExchangeForwarderParts) {
    this.#parts = parts;
  }

  /** Number of exchanges for other instances that have not ended. */
  get underWay(): number {
    return this.#underWay;
  }

  /** Sends a request and yields the parts of its response; aborting cancels it at the target. */
  async *forward(request: ForwardedRequest, signal: AbortSignal): AsyncGenerator<ForwardedPart> {
    const target = findKnownTarget(this.#parts.fleet.targets, request.target);
    const rejection = this.#findRejection(target, request);
    if (!target || rejection) {
      const part = rejection ?? TARGET_UNKNOWN;
      this.#record(request, part.failure, part.detail);
      yield part;
      return;
    }
    const exchange = this.#send(target, request);
    const end = this.#begin(exchange, target, request);
    // A stream that nobody reads any more is never resumed, so its end can't be left to it.
    signal.addEventListener('abort', end);
    if (signal.aborted) end();
    try {
      for await (const part of this.#relay(exchange, target, request)) {
        if (signal.aborted) return;
        yield part;
      }
    } finally {
      signal.removeEventListener('abort', end);
      end();
    }
  }

  /** Counts an exchange as under way until the returned function is called for the first time. */
  #begin(
    exchange: Exchange,
    target: FleetTarget,
    { remainingMilliseconds }: ForwardedRequest,
  ): () => void {
    const { loads } = this.#parts;
    const deadline = setTimeout(() => exchange.abort('deadline'), remainingMilliseconds);
    let hasEnded = false;
    this.#underWay += 1;
    loads.recordStart(target.id);
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      clearTimeout(deadline);
      exchange.abort('the exchange has ended');
      loads.recordEnd(target.id);
      this.#underWay -= 1;
    };
  }

  /** Returns why a request is not sent; undefined if it is. */
  #findRejection(
    target: FleetTarget | undefined,
    { isRepeat }: ForwardedRequest,
  ): FailurePart | undefined {
    const { fleet, paths, isDraining } = this.#parts;
    if (isDraining()) return failed('declined', 'shutting down');
    if (paths.isIsolated) return failed('declined', 'isolated');
    if (this.#underWay >= MAXIMUM_EXCHANGES) return failed('declined', 'full');
    if (!target) return TARGET_UNKNOWN;
    if (paths.isCut(target)) return failed('target-unavailable', 'no path');
    if (this.#isEvacuated(target)) return TARGET_EVACUATED;
    const isServing = fleet.targets.isServing(target);
    return isServing || (isRepeat && fleet.targets.mayRetry(target.id))
      ? undefined
      : failed('target-unavailable', 'not serving');
  }

  #send(target: FleetTarget, request: ForwardedRequest): Exchange {
    const { codec, connections, fleet, instanceCount } = this.#parts;
    const { envelope, body, organisation, priority } = request;
    const receivedAt = performance.now();
    const headers = (): string[] =>
      codec.encodeDispatch(envelope, {
        targetId: target.id,
        remainingMilliseconds: request.remainingMilliseconds - (performance.now() - receivedAt),
        organisation,
        lastEventId: envelope.lastEventId,
        priority,
      });
    const { id, method, pathAndQuery } = envelope;
    const connectionLimit = fleet.index?.findService(target.service)?.connectionLimit ?? 1;
    const share = Math.max(1, Math.floor(connectionLimit / Math.max(2, instanceCount())));
    const { decodeResponseId } = codec;
    const sent = { id, method, pathAndQuery, headers, body, decodeResponseId };
    return connections.send(target, share, sent);
  }

  async *#relay(
    exchange: Exchange,
    target: FleetTarget,
    request: ForwardedRequest,
  ): AsyncGenerator<ForwardedPart> {
    const head = yield* this.#waitFor(exchange.head, exchange, target);
    if (head.isErr()) {
      const failure =
        !exchange.wasSent && this.#isEvacuated(target)
          ? TARGET_EVACUATED
          : await this.#toFailure(head.error, target);
      this.#record(request, failure.failure, failure.detail);
      yield failure;
      return;
    }
    const { status, rawHeaders, framing, body } = head.value;
    this.#observeHead(target, head.value);
    yield { kind: 'head', status, rawHeaders, framing };
    const chunks = body[Symbol.asyncIterator]();
    try {
      for (;;) {
        const chunk = yield* this.#waitFor(chunks.next(), exchange, target);
        if (chunk.done) break;
        this.#parts.loads.recordReceivedBytes(target.id);
        yield { kind: 'data', bytes: chunk.value };
      }
    } catch (error) {
      if (!(error instanceof AnswerBrokenError)) throw error;
      this.#record(request, 'broken', error.message);
      yield failed('broken', error.reason.detail);
      return;
    }
    this.#record(request, 'delivered', '');
    yield { kind: 'end' };
  }

  /** Waits for a part of a response, and shows meanwhile that the hop works. */
  async *#waitFor<Part>(
    part: Promise<Part>,
    exchange: Exchange,
    target: FleetTarget,
  ): AsyncGenerator<ForwardedPart, Part> {
    const arrived = part.then((value) => ({ value }));
    for (;;) {
      const settled = await settleWithin(arrived, PROGRESS_MILLISECONDS, () => undefined);
      if (settled) return settled.value;
      if (this.#parts.paths.isSilent(target)) exchange.abort('no path to the target');
      if (!exchange.wasSent && this.#isEvacuated(target)) exchange.abort('evacuated');
      yield { kind: 'progress' };
    }
  }

  #isEvacuated({ availabilityZone }: FleetTarget): boolean {
    return this.#parts.fleet.evacuations.has(availabilityZone);
  }

  /** Notes what a response says about its target, as responses to this instance's own requests. */
  #observeHead(target: FleetTarget, { status, rawHeaders }: TargetResponse): void {
    const { codec, loads, metrics, fleet } = this.#parts;
    const { load, isLeaving } = codec.decodeResponse(status, rawHeaders);
    loads.recordReceivedBytes(target.id);
    observeLoadReport({ loads, metrics }, target, load);
    if (isLeaving) fleet.targets.markLeaving(target);
  }

  async #toFailure(error: ExchangeError, target: FleetTarget): Promise<FailurePart> {
    const { detail } = error;
    switch (error.kind) {
      case 'not-sent':
        return error.hasConnectionFailed
          ? this.#explainFailedConnection(target, error.isRefused, detail)
          : failed('not-sent', detail);
      case 'broken':
      case 'excessive':
      case 'aborted':
        return failed('broken', detail);
    }
  }

  /** A connection that fails because this instance is cut off, too, says nothing of the target. */
  async #explainFailedConnection(
    target: FleetTarget,
    isRefused: boolean,
    detail: string,
  ): Promise<FailurePart> {
    const verdict = await this.#parts.pathChecker.explainFailure(target, isRefused);
    switch (verdict) {
      case 'cut':
        return failed('target-unavailable', detail);
      case 'target-refuses':
        return failed(isRefused ? 'refused' : 'not-sent', detail);
      case 'unknown':
        return failed('not-sent', detail);
    }
  }

  #record({ envelope, target }: ForwardedRequest, outcome: string, detail: string): void {
    this.#parts.metrics.increment('forwarding.for-others', 1, { outcome });
    this.#parts.logger.info('forwarding.ended', {
      request: envelope.id,
      target: target.id,
      outcome,
      detail: detail === '' ? undefined : detail,
      underWay: this.#underWay,
    });
  }
}
