import type { Logger } from '@limpetnotch/observability';
import type { FleetState } from '../fleet/fleetState';
import type { Exchange } from '../targets/exchange';
import { AnswerBrokenError } from '../targets/exchangeError';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetConnections } from '../targets/targetConnections';
import type { TargetLoads } from '../targets/targetLoads';
import { AnswerRelay } from './answerRelay';
import type { AnswerWriter } from './answerWriter';
import { AttemptEnd, broken } from './attemptEnd';
import type { AttemptOutcome } from './attemptOutcome';
import type { Call } from './call';
import type { HeldBytes } from './heldBytes';
import { PROGRESS_CHECK_MILLISECONDS, ProgressWatch } from './progressWatch';
import type { SilenceBound } from './silenceBound';
import type { AnswerHead, WireCodec } from './wireCodec';

/** Bytes that come without being part of an answer, beyond which none is expected any more. */
const MAXIMUM_UNUSED_BYTES = 1024 * 1024;

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

  readonly #givenUp = new AbortController();

  readonly #progress: ProgressWatch;

  #ranMilliseconds: number | undefined;

  constructor(parts: AttemptParts, options: AttemptOptions) {
    this.#parts = parts;
    this.#options = options;
    this.#progress = new ProgressWatch(options.target.id, options.silence, parts.loads);
  }

  /** How long the target had the request, in milliseconds; undefined where it never did. */
  get ranMilliseconds(): number | undefined {
    return this.#ranMilliseconds;
  }

  /** Sends the request and relays the answer; resolves when the attempt has ended. */
  async run(): Promise<AttemptOutcome> {
    const { call, target } = this.#options;
    this.#parts.loads.begin(target.id);
    const exchange = this.#send();
    const stopWatching = this.#watch(exchange);
    try {
      const outcome = await this.#outcomeOf(exchange);
      const { sentAtMilliseconds } = exchange;
      if (sentAtMilliseconds !== undefined) {
        this.#ranMilliseconds = performance.now() - sentAtMilliseconds;
      }
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
      this.#givenUp.abort();
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
      } else if (this.#progress.checkSilence() && this.#mayGiveUp(exchange)) {
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

  #mayGiveUp({ wasSent }: Exchange): boolean {
    return !wasSent || this.#options.mayGiveUpSilent();
  }

  async #receive(exchange: Exchange): Promise<AttemptOutcome> {
    const opened = await exchange.head;
    if (opened.isErr()) throw new AnswerBrokenError(opened.error);
    this.#progress.noteProgress();
    const answer = opened.value;
    const head = this.#parts.codec.decodeAnswer(answer.status, answer.rawHeaders);
    if (head.load) this.#parts.loads.report(this.#options.target.id, head.load);
    this.#checkHead(head);
    const { call } = this.#options;
    const { writer, heldBytes } = this.#parts;
    const givenUp = this.#givenUp.signal;
    const relay = new AnswerRelay({ call, writer, heldBytes, progress: this.#progress, givenUp });
    return call.route.execution.kind === 'event-stream' && isSuccess(head)
      ? relay.relayEvents(head, answer)
      : relay.relayWhole(head, answer);
  }

  /** Throws where an answer is none to this request, or says that the request has not run. */
  #checkHead(head: AnswerHead): void {
    const { call } = this.#options;
    // A late answer to another request may lack its name, and may say that this one has not run.
    if (head.requestId !== call.envelope.id) throw broken('answer to another request');
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
