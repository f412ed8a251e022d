import type { TargetResponse } from '../targets/targetResponse';
import type { ResponseWriter } from './responseWriter';
import { loopTurn } from '../util/loopTurn';
import { AttemptEndedError, toBrokenError, toExcessiveError } from './attemptEndedError';
import type { AttemptOutcome } from './attemptOutcome';
import type { Call } from './call';
import { CallerStream } from './callerStream';
import { ContinuationCheck } from './continuationCheck';
import { SilentCost } from './silentCost';
import { EventStreamReader } from './eventStreamReader';
import type { StreamEvent } from './eventStreamReader';
import type { TargetBufferLimiter } from './targetBufferLimiter';
import type { ProgressMonitor } from './progressMonitor';
import { waitUntilWritable } from './waitUntilWritable';
import { explainWithheld } from './explainWithheld';
import { BufferedBody } from './bufferedBody';
import type { ResponseHead } from './wireCodec';

/** Size up to which a plain response is buffered before it is sent; a larger one is broken. */
const MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Bytes of a stream that are handled at once. */
const PIECE_BYTES = 4 * 1024;

/** Maximum size of one event of a stream; a larger one breaks the stream. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** Bytes that a caller has not read yet, above which reading from the target pauses. */
const MAXIMUM_UNREAD_BYTES = 256 * 1024;

function* splitIntoPieces(chunk: Buffer): Generator<Buffer> {
  for (let start = 0; start < chunk.length; start += PIECE_BYTES) {
    yield chunk.subarray(start, start + PIECE_BYTES);
  }
}

/** Throws if a response declares that it is larger than one may be. */
const checkDeclaredLength = ({ rawHeaders }: TargetResponse): void => {
  const index = rawHeaders.findIndex(
    (name, position) => position % 2 === 0 && name.toLowerCase() === 'content-length',
  );
  if (index >= 0 && Number(rawHeaders[index + 1]) > MAXIMUM_RESPONSE_BYTES) {
    throw toExcessiveError('declared length too large');
  }
};

/** Dependencies of a {@link ResponseRelay}. */
export interface ResponseRelayParts {
  readonly call: Call;
  readonly writer: ResponseWriter;
  readonly bufferLimiter: TargetBufferLimiter;
  readonly progressMonitor: ProgressMonitor;
  /** Aborts when the attempt is given up. */
  readonly abortSignal: AbortSignal;
  /** Called before the first event of each dispatch is sent to the caller. */
  readonly onFirstEvent: () => void;
}

/** Relays the response of a target to the caller. Throws if the response is broken. */
export class ResponseRelay {
  readonly #parts: ResponseRelayParts;

  constructor(parts: ResponseRelayParts) {
    this.#parts = parts;
  }

  /** Buffers a response and sends it once it is complete, unless its status must be withheld. */
  async relayBuffered(head: ResponseHead, targetResponse: TargetResponse): Promise<AttemptOutcome> {
    const { call, writer } = this.#parts;
    const body = await this.#bufferBody(targetResponse);
    if (call.eventCount > 0) {
      body.release();
      throw toBrokenError(`status ${head.status} for a resumed stream`);
    }
    const { status } = head;
    const detail = explainWithheld(call, { kind: 'target-response', status });
    if (detail !== undefined) {
      body.release();
      throw new AttemptEndedError({ kind: 'unproven-refusal', status, detail });
    }
    call.answeredAtMilliseconds = call.ageMilliseconds;
    call.response.once('close', () => body.release());
    writer.writeResponse(call.response, head.status, head.passedHeaders, body.chunks);
    return { kind: 'delivered', status: head.status };
  }

  /** Sends each event of a stream as soon as it is complete. */
  async relayEvents(head: ResponseHead, targetResponse: TargetResponse): Promise<AttemptOutcome> {
    const { call, writer, bufferLimiter, progressMonitor } = this.#parts;
    call.stream ??= new CallerStream(call.response, writer, bufferLimiter);
    const { stream } = call;
    const eventCountBefore = call.eventCount;
    const continuation = new ContinuationCheck(eventCountBefore > 0);
    const reader = new EventStreamReader();
    const silentCost = new SilentCost();
    for await (const chunk of targetResponse.body) {
      for (const piece of splitIntoPieces(chunk)) {
        await loopTurn.yieldIfLong();
        const events = reader.push(piece);
        events.forEach((event) => silentCost.record(event));
        if (silentCost.isExceeded) throw toExcessiveError('too many events without data');
        // Occasional comments, or bytes of an incomplete event, do not count as progress.
        if (events.some(({ hasData }) => hasData)) progressMonitor.recordEvents();
        if (reader.pendingBytes > MAXIMUM_EVENT_BYTES) throw toExcessiveError('event too large');
        events.forEach((event) => continuation.checkEvent(event));
        if (events.length > 0 && call.eventCount === eventCountBefore) this.#parts.onFirstEvent();
        this.#relayEvents(stream, head, events);
        if (stream.unreadBytes > MAXIMUM_UNREAD_BYTES) await this.#waitForCaller();
      }
    }
    if (reader.isInsideEvent) throw toBrokenError('stream ended within an event');
    if (targetResponse.framing === 'until-close' && !reader.endsWithData) {
      throw toBrokenError('stream without a length ended without an event');
    }
    continuation.checkEnd();
    await this.#retainTurn();
    stream.end(head);
    return { kind: 'delivered', status: head.status };
  }

  async #bufferBody(targetResponse: TargetResponse): Promise<BufferedBody> {
    if (this.#parts.call.envelope.method !== 'HEAD') checkDeclaredLength(targetResponse);
    const body = new BufferedBody(this.#parts.bufferLimiter, MAXIMUM_RESPONSE_BYTES);
    try {
      for await (const chunk of targetResponse.body) {
        await loopTurn.yieldIfLong();
        this.#parts.progressMonitor.recordProgress();
        if (!body.append(chunk)) throw toExcessiveError('response too large');
      }
      body.finish();
      return body;
    } catch (error) {
      body.release();
      throw error;
    }
  }

  /** Sends the events of one piece in one write. */
  #relayEvents(stream: CallerStream, head: ResponseHead, events: readonly StreamEvent[]): void {
    const { call } = this.#parts;
    const [first] = events;
    if (!first) return;
    if (call.eventCount === 0) call.answeredAtMilliseconds = call.ageMilliseconds;
    const bytes =
      events.length === 1 ? first.bytes : Buffer.concat(events.map((event) => event.bytes));
    if (!stream.write(head, bytes)) throw toExcessiveError('stream too large to buffer');
    events.forEach((event) => {
      call.recordEvent(event);
      call.retainedTurn?.recordEvent(event.bytes);
    });
  }

  /** Stores the turn before its response ends, as a complete response means that it is retained. */
  async #retainTurn(): Promise<void> {
    const { call, progressMonitor } = this.#parts;
    if (!call.retainedTurn) return;
    progressMonitor.setWaitingForCaller(true);
    const isKept = await call.retainedTurn.keep(call.remainingMilliseconds);
    progressMonitor.setWaitingForCaller(false);
    if (!isKept) throw new AttemptEndedError({ kind: 'not-retained' });
  }

  /** Waits until the caller has read the pending bytes or has left, or the attempt is given up. */
  async #waitForCaller(): Promise<void> {
    const { call, progressMonitor, abortSignal } = this.#parts;
    progressMonitor.setWaitingForCaller(true);
    await waitUntilWritable(call.response, abortSignal);
    progressMonitor.setWaitingForCaller(false);
  }
}
