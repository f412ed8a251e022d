import type { Logger, Metrics } from '@limpetnotch/observability';
import type { FleetState } from '../fleet/fleetState';
import type { ForwardedRequest } from '../forwarding/forwardedRequest';
import type { TargetAccess } from '../forwarding/targetAccess';
import type { TargetLimits } from '../limits/targetLimits';
import { computeResumptionWindow } from '../resumption/computeResumptionWindow';
import type { OriginSharing } from '../resumption/originSharing';
import { AnswerBrokenError } from '../targets/exchangeError';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetExchange } from '../targets/targetExchange';
import type { TargetConnections } from '../targets/targetConnections';
import { observeLoadReport } from '../targets/observeLoadReport';
import type { TargetLoads } from '../targets/targetLoads';
import { ResponseRelay } from './responseRelay';
import type { ResponseWriter } from './responseWriter';
import { AttemptEndedError, toBrokenError } from './attemptEndedError';
import type { AttemptOutcome } from './attemptOutcome';
import type { Call } from './call';
import { PROGRESS_CHECK_MILLISECONDS, ProgressMonitor } from './progressMonitor';
import type { InactivityTimeout } from './inactivityTimeout';
import type { TargetBuffers } from './targetBuffers';
import type { ResponseHead, WireCodec } from './wireCodec';

/** Received bytes that belong to no response, above which the attempt counts as broken. */
const MAXIMUM_UNUSED_BYTES = 1024 * 1024;

/** Dependencies of an {@link Attempt}. */
export interface AttemptParts {
  readonly fleet: FleetState;
  readonly codec: WireCodec;
  readonly connections: TargetConnections;
  readonly access: TargetAccess;
  readonly loads: TargetLoads;
  readonly limits: TargetLimits;
  readonly writer: ResponseWriter;
  readonly buffers: TargetBuffers;
  readonly origins: Pick<OriginSharing, 'record'>;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Connection on which an attempt sends its request. */
export type AttemptConnection =
  /** A pooled connection, within the limit of this instance for the target. */
  | { readonly kind: 'shared'; readonly connectionLimit: number }
  /** A new connection that serves only this attempt. */
  | { readonly kind: 'own' }
  /** A connection of another instance, as this one has no path to the target. */
  | { readonly kind: 'forwarded' };

/** Options of one {@link Attempt}. */
export interface AttemptOptions {
  readonly call: Call;
  readonly target: FleetTarget;
  readonly connection: AttemptConnection;
  readonly priority: number | undefined;
  /** Inactivity of the target, on all connections, after which the attempt may be given up. */
  readonly inactivityTimeout: InactivityTimeout;
  /** Whether a request that waits for a connection may still be sent to the target. */
  readonly mayBeSent: () => boolean;
  /** Whether the body may be sent to another instance in an availability zone. */
  readonly mayPassThrough: (availabilityZone: string | undefined) => boolean;
  /** Whether giving up an unresponsive target now is better for the caller than waiting. */
  readonly mayGiveUpUnresponsive: () => boolean;
}

const isSuccess = ({ status }: ResponseHead): boolean => status >= 200 && status < 300;

/** A request that only waited for a connection is no evidence that its target is unresponsive. */
const toNotSentIfUnsent = (outcome: AttemptOutcome, wasSent: boolean): AttemptOutcome =>
  outcome.kind === 'stalled' && !wasSent
    ? { kind: 'not-sent', detail: outcome.detail, isRefused: false, hasConnectionFailed: false }
    : outcome;

/** Silence of a target after which a lost connection to it is not waited for. */
const LOST_SILENCE_MILLISECONDS = 250;

/** One dispatch of a call to one target, and the relay of its response to the caller. */
export class Attempt {
  readonly #parts: AttemptParts;

  readonly #options: AttemptOptions;

  /** Outcome with which this instance aborted the exchange. */
  #abortOutcome: AttemptOutcome | undefined;

  readonly #abortController = new AbortController();

  readonly #progressMonitor: ProgressMonitor;

  #ranMilliseconds: number | undefined;

  constructor(parts: AttemptParts, options: AttemptOptions) {
    this.#parts = parts;
    this.#options = options;
    this.#progressMonitor = new ProgressMonitor(
      options.target.id,
      options.inactivityTimeout,
      parts.loads,
    );
  }

  /** Time that the target had the request, in milliseconds; undefined if it was never sent. */
  get ranMilliseconds(): number | undefined {
    return this.#ranMilliseconds;
  }

  /** Sends the request and relays the response; resolves when the attempt has ended. */
  async run(): Promise<AttemptOutcome> {
    const { call, target } = this.#options;
    this.#parts.loads.recordStart(target.id);
    const exchange = this.#send();
    const stopWatching = this.#watch(exchange);
    try {
      const outcome = await this.#explain(await this.#receiveOutcome(exchange));
      const { sentAtMilliseconds } = exchange;
      if (sentAtMilliseconds !== undefined) {
        this.#ranMilliseconds = performance.now() - sentAtMilliseconds;
      }
      const announced = this.#parts.fleet.targets.withAnnouncedState(target);
      call.history.record(announced, outcome, exchange.wasSent);
      call.responseFraming = exchange.framing;
      call.connectionFailureCode = exchange.connectionFailureCode;
      return outcome;
    } finally {
      stopWatching();
      exchange.abort('attempt ended');
      this.#parts.loads.recordEnd(target.id);
    }
  }

  async #explain(outcome: AttemptOutcome): Promise<AttemptOutcome> {
    const { target, connection } = this.#options;
    if (connection.kind === 'forwarded') return outcome;
    return this.#parts.access.explain(target, outcome);
  }

  async #receiveOutcome(exchange: TargetExchange): Promise<AttemptOutcome> {
    try {
      return await this.#receive(exchange);
    } catch (error) {
      return toNotSentIfUnsent(this.#toOutcome(error), exchange.wasSent);
    }
  }

  #send(): TargetExchange {
    const { call, target, connection, priority } = this.#options;
    const { envelope } = call;
    const headers = (): string[] =>
      this.#parts.codec.encodeDispatch(envelope, {
        targetId: target.id,
        remainingMilliseconds: call.remainingMilliseconds,
        organisation: call.organisation?.name,
        lastEventId: call.lastEventId,
        priority,
      });
    const { id, method, pathAndQuery } = envelope;
    const { connections, codec } = this.#parts;
    const { decodeResponseId } = codec;
    const body = call.dispatchBody;
    const request = { id, method, pathAndQuery, headers, body, decodeResponseId };
    call.forwarder = undefined;
    switch (connection.kind) {
      case 'shared':
        return connections.send(target, connection.connectionLimit, request);
      case 'own':
        return connections.sendOnNewConnection(target, request);
      case 'forwarded':
        return this.#parts.access.forward(target, {
          createRequest: () => this.#createForwardedRequest(),
          mayPassThrough: this.#options.mayPassThrough,
          onForwarder: (name) => {
            call.forwarder = name;
          },
        });
    }
  }

  #createForwardedRequest(): ForwardedRequest {
    const { call, target, priority } = this.#options;
    const { envelope, dispatchBody: body, organisation, remainingMilliseconds } = call;
    return {
      target,
      envelope: { ...envelope, lastEventId: call.lastEventId ?? envelope.lastEventId },
      body,
      remainingMilliseconds,
      organisation: organisation?.name,
      priority,
      isRepeat: call.history.formerTargets.some((former) => former.target.id === target.id),
    };
  }

  /**
   * Aborts the exchange when the caller disconnects, the deadline passes, the instance ends its
   * last calls or the target becomes unresponsive.
   */
  #watch(exchange: TargetExchange): () => void {
    const { call } = this.#options;
    const abort = (outcome: AttemptOutcome): void => {
      this.#abortOutcome ??= outcome;
      exchange.abort(outcome.kind);
      this.#abortController.abort();
    };
    const onClose = (): void => {
      if (!call.response.writableFinished) abort({ kind: 'caller-gone' });
    };
    call.response.once('close', onClose);
    const onEndSignal = (): void => abort({ kind: 'shutting-down' });
    call.endSignal?.addEventListener('abort', onEndSignal);
    const deadline = setTimeout(
      () => abort({ kind: 'timed-out', wasSent: exchange.wasSent }),
      Math.max(0, call.remainingMilliseconds),
    );
    const progressCheck = setInterval(() => {
      if (exchange.unparsedBytes > MAXIMUM_UNUSED_BYTES) {
        abort({ kind: 'excessive', detail: 'bytes that belong to no response' });
      } else if (!exchange.wasSent && !this.#options.mayBeSent()) {
        abort({ kind: 'no-path', detail: 'target became ineligible', wasSent: false });
      } else if (this.#isWaitingInVain(exchange)) {
        abort({ kind: 'no-path', detail: 'no connection', wasSent: false });
      } else if (this.#isLost && this.#mayGiveUp(exchange)) {
        abort({ kind: 'no-path', detail: 'connection lost', wasSent: exchange.wasSent });
      } else if (this.#progressMonitor.checkInactivity() && this.#mayGiveUp(exchange)) {
        abort({ kind: 'stalled', detail: 'no progress at the target' });
      }
    }, PROGRESS_CHECK_MILLISECONDS);
    return () => {
      call.response.removeListener('close', onClose);
      call.endSignal?.removeEventListener('abort', onEndSignal);
      clearTimeout(deadline);
      clearInterval(progressCheck);
    };
  }

  /** Whether the request waits for a connection that can't be opened. */
  #isWaitingInVain({ wasSent }: TargetExchange): boolean {
    const { target, connection } = this.#options;
    return !wasSent && connection.kind !== 'forwarded' && this.#parts.access.isForwarded(target);
  }

  /** Whether the connection to the target was lost without an error. */
  get #isLost(): boolean {
    const { target, connection } = this.#options;
    if (connection.kind === 'forwarded' || !this.#parts.access.isLost(target)) return false;
    const silence = this.#parts.loads.getMillisecondsSinceLastByte(target.id);
    return silence >= LOST_SILENCE_MILLISECONDS;
  }

  #mayGiveUp({ wasSent }: TargetExchange): boolean {
    return !wasSent || this.#options.mayGiveUpUnresponsive();
  }

  async #receive(exchange: TargetExchange): Promise<AttemptOutcome> {
    const headResult = await exchange.head;
    if (headResult.isErr()) throw new AnswerBrokenError(headResult.error);
    this.#progressMonitor.recordProgress();
    if (this.#options.connection.kind !== 'forwarded') {
      this.#parts.access.recordAnswer(this.#options.target);
    }
    const targetResponse = headResult.value;
    const head = this.#parts.codec.decodeResponse(targetResponse.status, targetResponse.rawHeaders);
    observeLoadReport(this.#parts, this.#options.target, head.load);
    this.#checkHead(head, exchange);
    const { call } = this.#options;
    const { writer, buffers } = this.#parts;
    const abortSignal = this.#abortController.signal;
    const relay = new ResponseRelay({
      call,
      writer,
      bufferLimiter: buffers.limiterOf(this.#options.target.id),
      progressMonitor: this.#progressMonitor,
      abortSignal,
      onFirstEvent: () => this.#recordOrigin(),
    });
    return call.route.execution.kind === 'event-stream' && isSuccess(head)
      ? relay.relayEvents(head, targetResponse)
      : relay.relayBuffered(head, targetResponse);
  }

  /** Binds the stream to the version that sends its first event. */
  #recordOrigin(): void {
    const { call, target } = this.#options;
    if (this.#parts.fleet.targets.wasReplaced(target)) {
      throw toBrokenError('the target has started again');
    }
    const { service, version } = target;
    call.origin ??= { service, version };
    const { streamKey, origin, remainingMilliseconds, route } = call;
    const { execution } = route;
    const isResumable = execution.kind === 'event-stream' && execution.isResumable;
    this.#parts.origins.record({
      streamKey,
      origin,
      remainingMilliseconds,
      windowMilliseconds: isResumable
        ? computeResumptionWindow(route.timeoutMilliseconds)
        : undefined,
    });
  }

  /** Throws if a response belongs to another request, or says that the request has not run. */
  #checkHead(head: ResponseHead, exchange: TargetExchange): void {
    const { call } = this.#options;
    // A late response to another request may lack an identifier, and may say that the request has
    // not run. It must not decide about this one.
    if (head.requestId !== call.envelope.id) throw toBrokenError('response to another request');
    if (head.isMisdirected) {
      throw new AttemptEndedError({ kind: 'declined', reason: 'misdirected' });
    }
    if (head.isLeaving) this.#markLeaving();
    this.#parts.limits.observe({
      target: this.#options.target,
      namedLimit: head.namedLimit,
      isSigned: head.isSigned,
      request: call.envelope.id,
      sentAtMilliseconds: exchange.sentAtMilliseconds ?? performance.now(),
    });
    if (head.isNotExecuted) {
      throw new AttemptEndedError({ kind: 'declined', reason: 'full' });
    }
    if (isSuccess(head) && !head.isSigned) throw toBrokenError('success without a signature');
    if (head.hasContentEncoding) throw toBrokenError('body with a content encoding');
  }

  #markLeaving(): void {
    const { call, target } = this.#options;
    if (!this.#parts.fleet.targets.markLeaving(target)) return;
    this.#parts.logger.info('targets.leaving', {
      target: target.id,
      request: call.envelope.id,
      bornMilliseconds: target.bornMilliseconds,
    });
  }

  #toOutcome(error: unknown): AttemptOutcome {
    if (this.#abortOutcome) return this.#abortOutcome;
    if (error instanceof AttemptEndedError) return error.outcome;
    if (!(error instanceof AnswerBrokenError)) throw error;
    const { reason } = error;
    switch (reason.kind) {
      case 'not-sent':
      case 'broken':
      case 'excessive':
        return reason;
      case 'aborted':
        return { kind: 'broken', detail: reason.detail };
    }
  }
}
