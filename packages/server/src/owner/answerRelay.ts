import { create } from '@bufbuild/protobuf';
import type { RunCallEvent } from '@limpetnotch/peer-protocol';
import { RunCallEventSchema } from '@limpetnotch/peer-protocol';
import type { Answer } from '@limpetnotch/programs';
import type { AnswerFrame } from '../targets/answerReader';
import type { AnswerChannel } from './answerChannel';

/** Bytes of one answer, which are kept whole for the record. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Head of an answer, as it goes to the caller. */
export interface RelayedHead {
  readonly status: number;
  readonly contentType: string;
  readonly sequence: number;
}

/**
 * Relays one answer and keeps the whole of it for the record. The closing event of a stream, and the
 * whole body of an answer that is no stream, are held back until the outcome is committed.
 */
export class AnswerRelay {
  readonly #channel: AnswerChannel<RunCallEvent>;

  readonly #parts: Uint8Array[] = [];

  #head: RelayedHead | undefined;

  #headSent = false;

  #keptBytes = 0;

  #held: Uint8Array[] = [];

  constructor(channel: AnswerChannel<RunCallEvent>) {
    this.#channel = channel;
  }

  /** Whether the caller may have seen a part of the answer. */
  get started(): boolean {
    return this.#headSent;
  }

  /** Takes the head of an attempt's answer; it is sent with the first bytes of the body. */
  start(head: RelayedHead): void {
    if (!this.#headSent) this.#head = head;
  }

  /** Relays one event of a stream; the closing one is held back. Throws where it gets too long. */
  async frame({ text, done }: AnswerFrame): Promise<void> {
    const bytes = Buffer.from(text);
    this.#keep(bytes);
    if (done) {
      this.#held.push(bytes);
    } else {
      await this.#send(bytes);
    }
  }

  /** Keeps a part of an answer that is no stream. Throws where the answer gets too long. */
  hold(bytes: Uint8Array): void {
    this.#keep(bytes);
    this.#held.push(bytes);
  }

  /** Drops what was kept, before another attempt starts the answer anew. */
  reset(): void {
    this.#parts.length = 0;
    this.#keptBytes = 0;
    this.#held = [];
  }

  /** Returns the whole answer for the record. */
  answer(): Answer {
    return {
      status: this.#head?.status ?? 0,
      contentType: this.#head?.contentType ?? 'application/octet-stream',
      bodyBase64: Buffer.concat(this.#parts).toString('base64'),
    };
  }

  /** Sends what was held back: the outcome is committed. */
  async release(): Promise<void> {
    await this.#sendHead();
    for (const bytes of this.#held) await this.#send(bytes);
    this.#held = [];
  }

  #keep(bytes: Uint8Array): void {
    this.#keptBytes += bytes.length;
    if (this.#keptBytes > MAXIMUM_ANSWER_BYTES) throw new Error('an answer without end');
    this.#parts.push(bytes);
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
