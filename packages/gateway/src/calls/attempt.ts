import type { Logger } from '@limpetnotch/observability';
import { AnswerBrokenError } from '../targets/exchangeError';
import type { Exchange, OpenAnswer } from '../targets/exchange';
import type { FleetState } from '../fleet/fleetState';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetConnections } from '../targets/targetConnections';
import type { TargetLoads } from '../targets/targetLoads';
import type { AnswerWriter } from './answerWriter';
import { AttemptEnd } from './attemptEnd';
import type { AttemptOutcome } from './attemptOutcome';
import type { Call } from './call';
import { CallerStream } from './callerStream';
import { EventStreamReader } from './eventStreamReader';
import type { StreamEvent } from './eventStreamReader';
import type { HeldBytes } from './heldBytes';
import { WholeBody } from './wholeBody';
import type { SilenceBound } from './silenceBound';
import type { AnswerHead, WireCodec } from './wireCodec';

/** Bodies of plain answers are held whole before they are sent; larger ones count as broken. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Bytes of one event of a stream; a larger one counts as no event. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** Bytes that come without being part of an answer, beyond which none is expected any more. */
const MAXIMUM_UNUSED_BYTES = 1024 * 1024;

/** Bytes that wait for a caller to read them, beyond which its stream waits, too. */
const MAXIMUM_UNREAD_BYTES = 256 * 1024;

/** How often the progress of an answer is checked. */
const PROGRESS_CHECK_MILLISECONDS = 100;

/** Time between two checks from which on the process itself stood still: two checks were missed. */
const PAUSE_MILLISECONDS = 3 * PROGRESS_CHECK_MILLISECONDS;

/** What an attempt needs of the instance. */
export interface AttemptParts {
  readonly fleet: FleetState;
  readonly codec: WireCodec;
  readonly connections: TargetConnections;
  readonly loads: TargetLoads;
  readonly writer: AnswerWriter;
  readonly heldBytes: HeldBytes;
  readonly logger: Logger;
}

/** Connection on which an attempt sends its request. */
export type AttemptConnection =
  /** One that is kept open, within those that this instance may hold to the target. */
  | { readonly kind: 'shared'; readonly connectionLimit: number }
  /** A new one that serves this attempt alone. */
  | { readonly kind: 'own' };

/** Options of one {@link Attempt}. */
export interface AttemptOptions {
  readonly call: Call;
  readonly target: FleetTarget;
  readonly connection: AttemptConnection;
  readonly priority: number | undefined;
  /** Silence of the target, on all connections, after which the attempt may be given up. */
  readonly silence: SilenceBound;
  /** Whether giving a silent target up now leaves the caller better off than waiting on. */
  readonly mayGiveUpSilent: () => boolean;
}

const broken = (detail: string): AttemptEnd => new AttemptEnd({ kind: 'broken', detail });

const isSuccess = ({ status }: AnswerHead): boolean => status >= 200 && status < 300;

/** A request that waited for its connection all the time says nothing of its target's silence. */
const withoutUnsentSilence = (outcome: AttemptOutcome, wasSent: boolean): AttemptOutcome =>
  outcome.kind === 'stalled' && !wasSent
    ? { kind: 'not-sent', detail: outcome.detail, isRefused: false }
    : outcome;

/** One dispatch of a call to one target, and the relay of its answer to the caller. */
export class Attempt {
  readonly #parts: AttemptParts;

  readonly #options: AttemptOptions;

  /** Why the exchange was aborted, where this instance did so. */
  #given: AttemptOutcome | undefined;

  #lastProgressMilliseconds = performance.now();

  #lastCheckMilliseconds = performance.now();

  /** Whether the target has sent an event with data. */
  #hasProgressed = false;

  /** Whether the target's answer waits for the caller to read on. */
  #isWaitingForCaller = false;

  constructor(parts: AttemptParts, options: AttemptOptions) {
    this.#parts = parts;
    this.#options = options;
  }

  /** Sends the request and relays the answer; resolves when the attempt has ended. */
  async run(): Promise<AttemptOutcome> {
    const { call, target } = this.#options;
    this.#parts.loads.begin(target.id);
    const exchange = this.#send();
    const stopWatching = this.#watch(exchange);
    try {
      const outcome = await this.#outcomeOf(exchange);
      const announced = this.#parts.fleet.targets.asAnnounced(target);
      call.history.record(announced, outcome, exchange.wasSent);
      return outcome;
    } finally {
      stopWatching();
      exchange.abort('attempt over');
      this.#parts.loads.end(target.id);
    }
  }

  async #outcomeOf(exchange: Exchange): Promise<AttemptOutcome> {
    try {
      return await this.#receive(exchange);
    } catch (error) {
      return withoutUnsentSilence(this.#outcomeOfError(error), exchange.wasSent);
    }
  }

  #send(): Exchange {
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
    const { method, pathAndQuery } = envelope;
    const request = { method, pathAndQuery, headers, body: call.body };
    const { connections } = this.#parts;
    switch (connection.kind) {
      case 'shared':
        return connections.send(target, connection.connectionLimit, request);
      case 'own':
        return connections.sendAlone(target, request);
    }
  }

  /** Aborts the exchange when the caller leaves, the time is over or the target falls silent. */
  #watch(exchange: Exchange): () => void {
    const { call } = this.#options;
    const abort = (outcome: AttemptOutcome): void => {
      this.#given ??= outcome;
      exchange.abort(outcome.kind);
    };
    const onClose = (): void => {
      if (!call.response.writableFinished) abort({ kind: 'caller-gone' });
    };
    call.response.once('close', onClose);
    const onEnding = (): void => abort({ kind: 'shutting-down' });
    call.ending?.addEventListener('abort', onEnding);
    const deadline = setTimeout(
      () => abort({ kind: 'timed-out', wasSent: exchange.wasSent }),
      Math.max(0, call.remainingMilliseconds),
    );
    const progress = setInterval(() => {
      if (exchange.unusedBytes > MAXIMUM_UNUSED_BYTES) {
        abort({ kind: 'broken', detail: 'bytes that are no answer' });
      } else if (this.#checkSilence(exchange)) {
        abort({ kind: 'stalled', detail: 'no progress at the target' });
      }
    }, PROGRESS_CHECK_MILLISECONDS);
    return () => {
      call.response.removeListener('close', onClose);
      call.ending?.removeEventListener('abort', onEnding);
      clearTimeout(deadline);
      clearInterval(progress);
    };
  }

  /**
   * Returns whether to give the target up as silent. Bytes that came while the process stood still
   * are read only after this check.
   */
  #checkSilence({ wasSent }: Exchange): boolean {
    const nowMilliseconds = performance.now();
    const wasPaused = nowMilliseconds - this.#lastCheckMilliseconds > PAUSE_MILLISECONDS;
    this.#lastCheckMilliseconds = nowMilliseconds;
    if (wasPaused || this.#isWaitingForCaller) this.#lastProgressMilliseconds = nowMilliseconds;
    return this.#isSilent && (!wasSent || this.#options.mayGiveUpSilent());
  }

  get #isSilent(): boolean {
    const { target, silence } = this.#options;
    const silenceMilliseconds = this.#hasProgressed
      ? silence.laterMilliseconds
      : silence.firstMilliseconds;
    const ownSilence = performance.now() - this.#lastProgressMilliseconds;
    return (
      ownSilence > silenceMilliseconds &&
      this.#parts.loads.silenceMilliseconds(target.id) > silenceMilliseconds
    );
  }

  async #receive(exchange: Exchange): Promise<AttemptOutcome> {
    const opened = await exchange.head;
    if (opened.isErr()) throw new AnswerBrokenError(opened.error);
    this.#heard();
    const answer = opened.value;
    const head = this.#parts.codec.decodeAnswer(answer.status, answer.rawHeaders);
    if (head.load) this.#parts.loads.report(this.#options.target.id, head.load);
    this.#checkHead(head);
    const { execution } = this.#options.call.route;
    return execution.kind === 'event-stream' && isSuccess(head)
      ? this.#relayEvents(head, answer)
      : this.#relayWhole(head, answer);
  }

  /** Throws where an answer is none to this request, or says that the request has not run. */
  #checkHead(head: AnswerHead): void {
    const { call } = this.#options;
    if (head.requestId !== undefined && head.requestId !== call.envelope.id) {
      throw broken('answer to another request');
    }
    if (head.requestId === undefined && isSuccess(head)) throw broken('success without a request');
    if (head.isMisdirected) {
      throw new AttemptEnd({ kind: 'declined', reason: 'misdirected' });
    }
    if (head.isLeaving) this.#noteLeaving();
    if (head.isNotExecuted) {
      throw new AttemptEnd({ kind: 'declined', reason: 'full' });
    }
    if (isSuccess(head) && !head.isSigned) throw broken('success without a signature');
    if (head.hasContentEncoding) throw broken('encoded body');
  }

  #noteLeaving(): void {
    const { call, target } = this.#options;
    if (!this.#parts.fleet.targets.markLeaving(target)) return;
    this.#parts.logger.info('targets.leaving', {
      target: target.id,
      request: call.envelope.id,
      bornMilliseconds: target.bornMilliseconds,
    });
  }

  async #relayWhole(head: AnswerHead, answer: OpenAnswer): Promise<AttemptOutcome> {
    const { call } = this.#options;
    const body = new WholeBody(this.#parts.heldBytes, MAXIMUM_ANSWER_BYTES);
    try {
      for await (const chunk of answer.body) {
        this.#heard();
        if (!body.take(chunk)) throw broken('answer too large');
      }
      if (call.response.headersSent) {
        throw broken(`status ${head.status} to a resumed stream`);
      }
    } catch (error) {
      body.release();
      throw error;
    }
    call.answeredAtMilliseconds = call.ageMilliseconds;
    call.response.once('close', () => body.release());
    this.#parts.writer.whole(call.response, head.status, head.passedHeaders, body.chunks);
    return { kind: 'delivered', status: head.status };
  }

  async #relayEvents(head: AnswerHead, answer: OpenAnswer): Promise<AttemptOutcome> {
    const { call } = this.#options;
    const { writer, heldBytes } = this.#parts;
    call.stream ??= new CallerStream(call.response, writer, heldBytes);
    const { stream } = call;
    const reader = new EventStreamReader();
    for await (const chunk of answer.body) {
      const events = reader.push(chunk);
      // Bytes of an event, or a comment, now and then are no progress.
      if (events.some(({ hasData }) => hasData)) this.#noteProgress();
      if (reader.pendingBytes > MAXIMUM_EVENT_BYTES) throw broken('event too large');
      events.forEach((event) => this.#relayEvent(stream, head, event));
      if (stream.unreadBytes > MAXIMUM_UNREAD_BYTES) await this.#untilRead();
    }
    if (reader.isInsideEvent) throw broken('stream ended inside an event');
    stream.end(head);
    return { kind: 'delivered', status: head.status };
  }

  /** Waits until the caller has read what waits for it, or has left. */
  async #untilRead(): Promise<void> {
    const { response } = this.#options.call;
    if (response.destroyed) return;
    this.#isWaitingForCaller = true;
    await new Promise<void>((resolve) => {
      response.once('drain', resolve);
      response.once('close', resolve);
    });
    this.#isWaitingForCaller = false;
    this.#heard();
  }

  #relayEvent(stream: CallerStream, head: AnswerHead, event: StreamEvent): void {
    const { call } = this.#options;
    if (call.events === 0) call.answeredAtMilliseconds = call.ageMilliseconds;
    if (!stream.write(head, event.bytes)) throw broken('stream too large to be held');
    call.noteEvent(event);
  }

  #noteProgress(): void {
    this.#hasProgressed = true;
    this.#heard();
  }

  #heard(): void {
    this.#lastProgressMilliseconds = performance.now();
    this.#parts.loads.heard(this.#options.target.id);
  }

  #outcomeOfError(error: unknown): AttemptOutcome {
    if (this.#given) return this.#given;
    if (error instanceof AttemptEnd) return error.outcome;
    if (!(error instanceof AnswerBrokenError)) throw error;
    const { reason } = error;
    switch (reason.kind) {
      case 'not-sent':
        return reason;
      case 'broken':
        return reason;
      case 'aborted':
        return { kind: 'broken', detail: reason.detail };
    }
  }
}
