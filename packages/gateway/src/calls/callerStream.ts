import type { ServerResponse } from 'node:http';
import type { ResponseWriter } from './responseWriter';
import type { TargetBufferLimiter } from './targetBufferLimiter';
import { BufferedBody } from './bufferedBody';
import type { ResponseHead } from './wireCodec';

/** Size of a buffered stream above which it counts as broken. */
const MAXIMUM_BUFFERED_STREAM_BYTES = 16 * 1024 * 1024;

/** How the events of a stream are sent to a caller. */
type Delivery =
  /** Immediately and chunked; an interrupted stream lacks the last chunk. */
  | { readonly kind: 'streamed' }
  /**
   * All at the end. HTTP/1.0 has no chunked encoding, and a body without a length would look
   * complete when its connection closes early.
   */
  | { readonly kind: 'held'; readonly body: BufferedBody };

const chooseDelivery = ({ req }: ServerResponse, bufferLimiter: TargetBufferLimiter): Delivery => {
  const takesChunks = req.httpVersionMajor > 1 || req.httpVersionMinor > 0;
  if (takesChunks) return { kind: 'streamed' };
  return { kind: 'held', body: new BufferedBody(bufferLimiter, MAXIMUM_BUFFERED_STREAM_BYTES) };
};

/** The streamed response to one request, from one target or from several in sequence. */
export class CallerStream {
  readonly #response: ServerResponse;

  readonly #writer: ResponseWriter;

  readonly #delivery: Delivery;

  /** Head of the first target's response, used for the complete stream. */
  #head: ResponseHead | undefined;

  constructor(
    response: ServerResponse,
    writer: ResponseWriter,
    bufferLimiter: TargetBufferLimiter,
  ) {
    this.#response = response;
    this.#writer = writer;
    this.#delivery = chooseDelivery(response, bufferLimiter);
  }

  /** Bytes that the caller has not read yet. */
  get unreadBytes(): number {
    return this.#response.writableLength;
  }

  /** Writes the bytes of an event; returns false if the buffer limits are exceeded. */
  write(head: ResponseHead, bytes: Buffer): boolean {
    this.#start(head);
    switch (this.#delivery.kind) {
      case 'streamed':
        this.#response.write(bytes);
        return true;
      case 'held':
        return this.#delivery.body.append(bytes);
    }
  }

  /** Ends the stream as complete. */
  end(lastHead: ResponseHead): void {
    const { status, passedHeaders } = this.#start(lastHead);
    switch (this.#delivery.kind) {
      case 'streamed':
        this.#response.end();
        return;
      case 'held':
        this.#delivery.body.finish();
        this.#writer.writeResponse(
          this.#response,
          status,
          passedHeaders,
          this.#delivery.body.chunks,
        );
    }
  }

  #start(head: ResponseHead): ResponseHead {
    if (this.#head) return this.#head;
    this.#head = head;
    const { status, passedHeaders } = head;
    switch (this.#delivery.kind) {
      case 'streamed':
        this.#writer.writeHead(this.#response, status, passedHeaders);
        return head;
      case 'held': {
        const { body } = this.#delivery;
        this.#response.once('close', () => body.release());
        return head;
      }
    }
  }
}
