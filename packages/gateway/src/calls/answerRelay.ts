import type { OpenAnswer } from '../targets/exchange';
import type { AnswerWriter } from './answerWriter';
import { broken } from './attemptEnd';
import type { AttemptOutcome } from './attemptOutcome';
import type { Call } from './call';
import { CallerStream } from './callerStream';
import { EventStreamReader } from './eventStreamReader';
import type { StreamEvent } from './eventStreamReader';
import type { HeldBytes } from './heldBytes';
import type { ProgressWatch } from './progressWatch';
import { untilWritable } from './untilWritable';
import { WholeBody } from './wholeBody';
import type { AnswerHead } from './wireCodec';

/** Bodies of plain answers are held whole before they are sent; larger ones count as broken. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Bytes of one event of a stream; a larger one counts as no event. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** Bytes that wait for a caller to read them, beyond which its stream waits, too. */
const MAXIMUM_UNREAD_BYTES = 256 * 1024;

/** Parts of an {@link AnswerRelay}. */
export interface AnswerRelayParts {
  readonly call: Call;
  readonly writer: AnswerWriter;
  readonly heldBytes: HeldBytes;
  readonly progress: ProgressWatch;
  /** Aborts when the attempt is given up. */
  readonly givenUp: AbortSignal;
}

/** Sends the answer of a target on to the caller; throws where it turns out to be broken. */
export class AnswerRelay {
  readonly #parts: AnswerRelayParts;

  constructor(parts: AnswerRelayParts) {
    this.#parts = parts;
  }

  /** Sends an answer when it has come whole. */
  async relayWhole(head: AnswerHead, answer: OpenAnswer): Promise<AttemptOutcome> {
    const { call, writer } = this.#parts;
    const body = await this.#readWhole(answer);
    if (call.response.headersSent) {
      body.release();
      throw broken(`status ${head.status} to a resumed stream`);
    }
    call.answeredAtMilliseconds = call.ageMilliseconds;
    call.response.once('close', () => body.release());
    writer.whole(call.response, head.status, head.passedHeaders, body.chunks);
    return { kind: 'delivered', status: head.status };
  }

  /** Sends the events of a stream as they come whole. */
  async relayEvents(head: AnswerHead, answer: OpenAnswer): Promise<AttemptOutcome> {
    const { call, writer, heldBytes, progress } = this.#parts;
    call.stream ??= new CallerStream(call.response, writer, heldBytes);
    const { stream } = call;
    const reader = new EventStreamReader();
    for await (const chunk of answer.body) {
      const events = reader.push(chunk);
      // A comment, or bytes of an event, now and then are no progress.
      if (events.some(({ hasData }) => hasData)) progress.noteEvents();
      if (reader.pendingBytes > MAXIMUM_EVENT_BYTES) throw broken('event too large');
      events.forEach((event) => this.#relayEvent(stream, head, event));
      if (stream.unreadBytes > MAXIMUM_UNREAD_BYTES) await this.#untilRead();
    }
    if (reader.isInsideEvent) throw broken('stream ended inside an event');
    stream.end(head);
    return { kind: 'delivered', status: head.status };
  }

  async #readWhole(answer: OpenAnswer): Promise<WholeBody> {
    const body = new WholeBody(this.#parts.heldBytes, MAXIMUM_ANSWER_BYTES);
    try {
      for await (const chunk of answer.body) {
        this.#parts.progress.noteProgress();
        if (!body.take(chunk)) throw broken('answer too large');
      }
      return body;
    } catch (error) {
      body.release();
      throw error;
    }
  }

  #relayEvent(stream: CallerStream, head: AnswerHead, event: StreamEvent): void {
    const { call } = this.#parts;
    if (call.events === 0) call.answeredAtMilliseconds = call.ageMilliseconds;
    if (!stream.write(head, event.bytes)) throw broken('stream too large to be held');
    call.noteEvent(event);
  }

  /** Waits until the caller has read what waits for it or has left, or the attempt is given up. */
  async #untilRead(): Promise<void> {
    const { call, progress, givenUp } = this.#parts;
    progress.noteWaitingForCaller(true);
    await untilWritable(call.response, givenUp);
    progress.noteWaitingForCaller(false);
  }
}
