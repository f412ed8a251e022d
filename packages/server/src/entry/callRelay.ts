import type { RunCallEvent, RunCallRequest } from '@limpetnotch/peer-protocol';
import type { Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import { problemOfMessage } from '../owner/callEvents';
import type { Problem } from '../problems/problem';
import type { AnswerSink } from './answerSink';
import { AnswerSplicer } from './answerSplicer';
import type { OwnerDirectory, OwnerRoute } from './ownerDirectory';

const OWNER_WAIT_MILLISECONDS = 10_000;
const RETRY_DELAY_MILLISECONDS = 50;

/** What relaying calls needs. */
export interface CallRelayOptions {
  readonly directory: OwnerDirectory;
  readonly metrics: Metrics;
}

/** One call to be relayed. */
export interface RelayedCall {
  readonly request: RunCallRequest;
  readonly sink: AnswerSink;
  /** Aborts when the caller went away or its key was withdrawn. */
  readonly signal: AbortSignal;
}

/** How one owner's answer ended. */
type RelayEnd =
  | { readonly kind: 'finished' }
  /** The owner did not take the call. */
  | { readonly kind: 'not-owner' }
  /** The owner was lost with the call under way. */
  | { readonly kind: 'lost'; readonly detail: string };

/**
 * Relays a call to the owner of its program's partition and the answer back. When the owner moves or
 * dies, the next owner is asked with the same idempotency key, by which it runs at most once.
 */
export class CallRelay {
  readonly #options: CallRelayOptions;

  constructor(options: CallRelayOptions) {
    this.#options = options;
  }

  /** Relays one call; resolves when the caller has its answer, or a problem. */
  async relay(call: RelayedCall): Promise<void> {
    const { directory, metrics } = this.#options;
    const splicer = new AnswerSplicer();
    let giveUpAt = performance.now() + OWNER_WAIT_MILLISECONDS;
    let wasSent = false;
    for (let attempt = 0; !call.signal.aborted || attempt === 0; attempt += 1) {
      const owner = directory.ownerOf(call.request.partition);
      if (owner) {
        const end = await this.#relayFrom(owner, { ...call, attempt }, splicer);
        if (end.kind === 'finished') return;
        metrics.increment('relay.retries', 1, { kind: end.kind });
        if (end.kind === 'lost' && !wasSent) giveUpAt = performance.now() + OWNER_WAIT_MILLISECONDS;
        wasSent ||= end.kind === 'lost';
      }
      if (performance.now() > giveUpAt) break;
      await delay(RETRY_DELAY_MILLISECONDS, call.signal);
      await directory.refresh(call.request.partition);
    }
    call.sink.fail(CallRelay.#unreachable(wasSent, call.signal.aborted));
  }

  async #relayFrom(
    owner: OwnerRoute,
    call: RelayedCall & { readonly attempt: number },
    splicer: AnswerSplicer,
  ): Promise<RelayEnd> {
    const relayId = `${call.request.relayId}.${call.attempt}`;
    const cancel = (): void => owner.cancel(relayId);
    call.signal.addEventListener('abort', cancel, { once: true });
    splicer.restart();
    try {
      for await (const event of owner.run({ ...call.request, relayId })) {
        const end = await CallRelay.#take(event, call.sink, splicer);
        if (end) return end;
      }
      return { kind: 'lost', detail: 'the stream ended without an answer' };
    } catch (error) {
      return { kind: 'lost', detail: error instanceof Error ? error.message : String(error) };
    } finally {
      call.signal.removeEventListener('abort', cancel);
    }
  }

  static async #take(
    { event }: RunCallEvent,
    sink: AnswerSink,
    splicer: AnswerSplicer,
  ): Promise<RelayEnd | undefined> {
    switch (event.case) {
      case 'head':
        if (!sink.started) sink.start(event.value);
        return undefined;
      case 'chunk':
        return CallRelay.#write(event.value, sink, splicer);
      case 'end':
        if (!splicer.isCaughtUp) return CallRelay.#differs(sink);
        sink.end(event.value);
        return { kind: 'finished' };
      case 'problem':
        sink.fail(problemOfMessage(event.value));
        return { kind: 'finished' };
      case 'notOwner':
        return { kind: 'not-owner' };
      case undefined:
        return undefined;
      // no default
    }
  }

  static async #write(
    chunk: Uint8Array,
    sink: AnswerSink,
    splicer: AnswerSplicer,
  ): Promise<RelayEnd | undefined> {
    const spliced = splicer.accept(chunk);
    if (spliced.kind === 'mismatch') return CallRelay.#differs(sink);
    if (spliced.bytes.length > 0) await sink.write(spliced.bytes);
    return undefined;
  }

  /** The call ran again with another answer, of which the caller has seen the first one's start. */
  static #differs(sink: AnswerSink): RelayEnd {
    sink.fail({
      problem: 'target-broken',
      executed: 'yes',
      detail:
        'the answer was made anew; ask again with the same idempotency key for the whole of it',
    });
    return { kind: 'finished' };
  }

  static #unreachable(wasSent: boolean, aborted: boolean): Problem {
    return {
      problem: aborted ? 'cancelled' : 'owner-unreachable',
      executed: wasSent ? 'unknown' : 'no',
      detail: wasSent
        ? 'the owner was lost with the call under way; ask again with the same idempotency key'
        : 'no owner took the call',
    };
  }
}
