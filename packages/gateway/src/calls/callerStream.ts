import type { ServerResponse } from 'node:http';
import type { AnswerWriter } from './answerWriter';
import type { HeldBytes } from './heldBytes';
import { WholeBody } from './wholeBody';
import type { AnswerHead } from './wireCodec';

/** Bytes of a held stream beyond which it counts as broken. */
const MAXIMUM_HELD_STREAM_BYTES = 16 * 1024 * 1024;

/** How the events of a stream reach a caller. */
type Delivery =
  /** As they come, in chunks, of which a stream that is cut lacks the last. */
  | { readonly kind: 'streamed' }
  /**
   * All at the end. A caller of HTTP/1.0 takes no chunks, and a body without a length would look
   * whole when its connection closes early.
   */
  | { readonly kind: 'held'; readonly body: WholeBody };

const deliveryOf = ({ req }: ServerResponse, heldBytes: HeldBytes): Delivery => {
  const takesChunks = req.httpVersionMajor > 1 || req.httpVersionMinor > 0;
  if (takesChunks) return { kind: 'streamed' };
  return { kind: 'held', body: new WholeBody(heldBytes, MAXIMUM_HELD_STREAM_BYTES) };
};

/** The stream that answers one request, from one target or several in turn. */
export class CallerStream {
  readonly #response: ServerResponse;

  readonly #writer: AnswerWriter;

  readonly #delivery: Delivery;

  /** Head of the first target's answer, which the whole stream has. */
  #head: AnswerHead | undefined;

  constructor(response: ServerResponse, writer: AnswerWriter, heldBytes: HeldBytes) {
    this.#response = response;
    this.#writer = writer;
    this.#delivery = deliveryOf(response, heldBytes);
  }

  /** Bytes that wait for the caller to read them. */
  get unreadBytes(): number {
    return this.#response.writableLength;
  }

  /** Takes the bytes of an event; returns false where there is no room to hold them. */
  write(head: AnswerHead, bytes: Buffer): boolean {
    this.#begin(head);
    switch (this.#delivery.kind) {
      case 'streamed':
        this.#response.write(bytes);
        return true;
      case 'held':
        return this.#delivery.body.take(bytes);
    }
  }

  /** Ends the stream as whole. */
  end(lastHead: AnswerHead): void {
    const { status, passedHeaders } = this.#begin(lastHead);
    switch (this.#delivery.kind) {
      case 'streamed':
        this.#response.end();
        return;
      case 'held':
        this.#writer.whole(this.#response, status, passedHeaders, this.#delivery.body.chunks);
    }
  }

  #begin(head: AnswerHead): AnswerHead {
    if (this.#head) return this.#head;
    this.#head = head;
    const { status, passedHeaders } = head;
    switch (this.#delivery.kind) {
      case 'streamed':
        this.#writer.head(this.#response, status, passedHeaders);
        return head;
      case 'held': {
        const { body } = this.#delivery;
        this.#response.once('close', () => body.release());
        return head;
      }
    }
  }
}
