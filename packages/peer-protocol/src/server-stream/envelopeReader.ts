import { Code, ConnectError } from '@connectrpc/connect';

const HEADER_BYTES = 5;

/** Maximum size of a message; the largest ones hold a configuration and all targets. */
const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;

/** One message of a stream. */
export interface Envelope {
  readonly flags: number;
  readonly content: Uint8Array;
}

/** Splits the bytes of a stream into messages. */
export class EnvelopeReader {
  #chunks: Buffer[] = [];

  #bytes = 0;

  /** Adds received bytes, and returns the messages that are complete with them. */
  push(chunk: Buffer): readonly Envelope[] {
    this.#chunks.push(chunk);
    this.#bytes += chunk.length;
    const envelopes: Envelope[] = [];
    for (let envelope = this.#take(); envelope; envelope = this.#take()) envelopes.push(envelope);
    return envelopes;
  }

  #take(): Envelope | undefined {
    if (this.#bytes < HEADER_BYTES) return undefined;
    const header = this.#peek(HEADER_BYTES);
    const length = header.readUInt32BE(1);
    if (length > MAXIMUM_MESSAGE_BYTES) {
      throw new ConnectError('the message is too large', Code.ResourceExhausted);
    }
    if (this.#bytes < HEADER_BYTES + length) return undefined;
    const all = this.#peek(this.#bytes);
    const end = HEADER_BYTES + length;
    this.#chunks = [all.subarray(end)];
    this.#bytes -= end;
    return { flags: all.readUInt8(0), content: all.subarray(HEADER_BYTES, end) };
  }

  /** Returns at least the given number of bytes that have been received, in one piece. */
  #peek(bytes: number): Buffer {
    const [first] = this.#chunks;
    if (first && first.length >= bytes) return first;
    const all = Buffer.concat(this.#chunks);
    this.#chunks = [all];
    return all;
  }
}
