import { create } from '@bufbuild/protobuf';
import type { RunCallEvent } from '@limpetnotch/peer-protocol';
import { RunCallEventSchema } from '@limpetnotch/peer-protocol';
import type { Answer } from '@limpetnotch/programs';
import type { AnswerEvent } from '../targets/answerReader';
import type { AnswerChannel } from './answerChannel';

/** Maximum size of an answer, because the complete answer is kept in memory to be recorded. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Head of an answer, as sent to the caller. */
export interface RelayedHead {
  readonly status: number;
  readonly contentType: string;
  readonly sequence: number;
}

/**
 * Relays one answer and keeps a complete copy to be recorded. The closing event of a stream, and
 * the complete body of any other answer, are buffered until the outcome is committed.
 */
export class AnswerRelay {
  readonly #channel: AnswerChannel<RunCallEvent>;

  readonly #recorded: Uint8Array[] = [];

  #head: RelayedHead | undefined;

  #headSent = false;

  #recordedBytes = 0;

  #buffered: Uint8Array[] = [];

  constructor(channel: AnswerChannel<RunCallEvent>) {
    this.#channel = channel;
  }

  /** Whether the caller may have received a part of the answer. */
  get started(): boolean {
    return this.#headSent;
  }

  /** Sets the head of an attempt's answer, which is sent with the first bytes of the body. */
  setHead(head: RelayedHead): void {
    if (!this.#headSent) this.#head = head;
  }

  /** Relays one event of a stream and buffers the closing one. Throws if the answer is too long. */
  async relayEvent({ text, isLast }: AnswerEvent): Promise<void> {
    const bytes = Buffer.from(text);
    this.#record(bytes);
    if (isLast) {
      this.#buffered.push(bytes);
    } else {
      await this.#send(bytes);
    }
  }

  /** Buffers a part of an answer that is not a stream. Throws if the answer is too long. */
  buffer(bytes: Uint8Array): void {
    this.#record(bytes);
    this.#buffered.push(bytes);
  }

  /** Discards the recorded and buffered bytes before another attempt restarts the answer. */
  reset(): void {
    this.#recorded.length = 0;
    this.#recordedBytes = 0;
    this.#buffered = [];
  }

  /** Returns the complete answer to be recorded. */
  getAnswer(): Answer {
    return {
      status: this.#head?.status ?? 0,
      contentType: this.#head?.contentType ?? 'application/octet-stream',
      bodyBase64: Buffer.concat(this.#recorded).toString('base64'),
    };
  }

  /** Sends the buffered bytes, once the outcome is committed. */
  async flush(): Promise<void> {
    await this.#sendHead();
    for (const bytes of this.#buffered) await this.#send(bytes);
    this.#buffered = [];
  }

  #record(bytes: Uint8Array): void {
    this.#recordedBytes += bytes.length;
    if (this.#recordedBytes > MAXIMUM_ANSWER_BYTES) throw new Error('an answer without end');
    this.#recorded.push(bytes);
  }

  async #sendHead(): Promise<void> {
    const head = this.#head;
    if (!head || this.#headSent) return;
    this.#headSent = true;
    await this.#channel.push(
      create(RunCallEventSchema, {
        event: {
          case: 'head',
          value: {
            status: head.status,
            headers: [{ name: 'content-type', value: head.contentType }],
            sequence: head.sequence,
          },
        },
      }),
    );
  }

  async #send(chunk: Uint8Array): Promise<void> {
    await this.#sendHead();
    await this.#channel.push(
      create(RunCallEventSchema, { event: { case: 'chunk', value: chunk } }),
      chunk.length,
    );
  }
}
