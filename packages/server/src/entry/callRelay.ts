import type { RunCallEvent, RunCallRequest } from '@limpetnotch/peer-protocol';
import type { Executed } from '@limpetnotch/programs';
import type { Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import { parseNotOwnerExecuted, parseProblemMessage } from '../owner/callEvents';
import type { Problem } from '../problems/problem';
import type { AnswerSink } from './answerSink';
import { AnswerSplicer } from './answerSplicer';
import type { OwnerDirectory, OwnerClient } from './ownerDirectory';

const OWNER_WAIT_MILLISECONDS = 10_000;
const RETRY_DELAY_MILLISECONDS = 50;

/** Options of {@link CallRelay}. */
export interface CallRelayOptions {
  readonly directory: OwnerDirectory;
  readonly metrics: Metrics;
}

/** A call to be relayed. */
export interface RelayedCall {
  readonly request: RunCallRequest;
  readonly sink: AnswerSink;
  /** Aborts when the caller disconnects or its key is withdrawn. */
  readonly signal: AbortSignal;
}

/** How relaying the answer of one owner ended. */
type RelayEnd =
  | { readonly kind: 'finished' }
  /** The instance does not own the partition, or no longer. */
  | { readonly kind: 'not-owner'; readonly executed: Executed }
  /** The connection to the owner was lost during the call. */
  | { readonly kind: 'lost'; readonly detail: string };

/**
 * Relays a call to the owner of its program's partition and the answer back. If the partition moves
 * or its owner crashes, the call is sent to the next owner with the same idempotency key, so that
 * it runs at most once.
 */
export class CallRelay {
  readonly #options: CallRelayOptions;

  constructor(options: CallRelayOptions) {
    this.#options = options;
  }

  /** Relays one call; resolves when the caller has received its answer or a problem. */
  async relay(call: RelayedCall): Promise<void> {
    const { directory, metrics } = this.#options;
    const splicer = new AnswerSplicer();
    let deadline = performance.now() + OWNER_WAIT_MILLISECONDS;
    let wasLost = false;
    let mayHaveRun = false;
    for (let attempt = 0; !call.signal.aborted || attempt === 0; attempt += 1) {
      const owner = directory.getOwner(call.request.partition);
      if (owner) {
        const end = await this.#relayFromOwner(owner, { ...call, attempt }, splicer);
        if (end.kind === 'finished') return;
        metrics.increment('relay.retries', 1, { kind: end.kind });
        if (end.kind === 'lost' && !wasLost) deadline = performance.now() + OWNER_WAIT_MILLISECONDS;
        wasLost ||= end.kind === 'lost';
        mayHaveRun ||= end.kind === 'lost' || end.executed !== 'no';
      }
      if (performance.now() > deadline) break;
      await delay(RETRY_DELAY_MILLISECONDS, call.signal);
      await directory.refresh(call.request.partition);
    }
    call.sink.fail(CallRelay.#createFailure(mayHaveRun, call.signal.aborted));
  }

  async #relayFromOwner(
    owner: OwnerClient,
    call: RelayedCall & { readonly attempt: number },
    splicer: AnswerSplicer,
  ): Promise<RelayEnd> {
    const relayId = `${call.request.relayId}.${call.attempt}`;
    const cancel = (): void => owner.cancel(relayId);
    call.signal.addEventListener('abort', cancel, { once: true });
    splicer.restart();
    try {
      for await (const event of owner.run({ ...call.request, relayId })) {
        const end = await CallRelay.#handleEvent(event, call.sink, splicer);
        if (end) return end;
      }
      return { kind: 'lost', detail: 'the stream ended without an answer' };
    } catch (error) {
      return { kind: 'lost', detail: error instanceof Error ? error.message : String(error) };
    } finally {
      call.signal.removeEventListener('abort', cancel);
    }
  }

  static async #handleEvent(
    { event }: RunCallEvent,
    sink: AnswerSink,
    splicer: AnswerSplicer,
  ): Promise<RelayEnd | undefined> {
    switch (event.case) {
      case 'head':
        if (!sink.started) sink.start(event.value);
        return undefined;
      case 'chunk':
        return CallRelay.#writeChunk(event.value, sink, splicer);
      case 'end':
        if (!splicer.isCaughtUp) return CallRelay.#failMismatch(sink);
        sink.end(event.value);
        return { kind: 'finished' };
      case 'problem':
        sink.fail(parseProblemMessage(event.value));
        return { kind: 'finished' };
      case 'notOwner':
        return { kind: 'not-owner', executed: parseNotOwnerExecuted(event.value) };
      case undefined:
        return undefined;
      // no default
    }
  }

  static async #writeChunk(
    chunk: Uint8Array,
    sink: AnswerSink,
    splicer: AnswerSplicer,
  ): Promise<RelayEnd | undefined> {
    const spliced = splicer.accept(chunk);
    if (spliced.kind === 'mismatch') return CallRelay.#failMismatch(sink);
    if (spliced.bytes.length > 0) await sink.write(spliced.bytes);
    return undefined;
  }

  /**
   * The call ran again with a different answer, after the caller had read part of the first one.
   */
  static #failMismatch(sink: AnswerSink): RelayEnd {
    sink.fail({
      problem: 'target-broken',
      executed: 'yes',
      detail:
        'the answer was made anew; ask again with the same idempotency key for the whole of it',
    });
    return { kind: 'finished' };
  }

  static #createFailure(mayHaveRun: boolean, aborted: boolean): Problem {
    return {
      problem: aborted ? 'cancelled' : 'owner-unreachable',
      executed: mayHaveRun ? 'unknown' : 'no',
      detail: mayHaveRun
        ? 'the owner was lost with the call under way; ask again with the same idempotency key'
        : 'no owner took the call',
    };
  }
}
