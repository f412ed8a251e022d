import { create } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import { Deferred } from '@limpetnotch/supervision';
import { ResultAsync } from 'neverthrow';
import { AsyncQueue } from './asyncQueue';
import type {
  ControlRequest,
  ControlResponse,
  PeerService,
} from './generated/limpetnotch/peer/v1/peer_pb';
import { ControlRequestSchema } from './generated/limpetnotch/peer/v1/peer_pb';
import type { PeerCallError } from './peerCallError';

/** Message of a control request. */
export type ControlMessage = Exclude<ControlRequest['message'], { case: undefined }>;

/** Message of a control response. */
export type ControlReply = ControlResponse['message'];

interface OpenStream {
  readonly outgoing: AsyncQueue<ControlRequest>;
  readonly abort: AbortController;
  readonly pending: Map<number, Deferred<ControlReply>>;
}

/** Options of a {@link ControlStream}. */
export interface ControlStreamOptions {
  readonly client: Client<typeof PeerService>;
  /** Time within which the reply to each message must arrive, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /**
   * Replaces the underlying connection; called when a message gets no reply within the deadline.
   */
  readonly replaceConnection: () => void;
}

/**
 * Long-lived bidirectional stream to a peer, on which control messages are exchanged. The first
 * message opens it. If a message gets no reply within the deadline, the connection counts as
 * unresponsive: the stream and its connection are dropped, and the next message opens new ones.
 */
export class ControlStream {
  readonly #options: ControlStreamOptions;

  #stream: OpenStream | undefined;

  #nextId = 1;

  constructor(options: ControlStreamOptions) {
    this.#options = options;
  }

  /** Sends a message; resolves to its reply. */
  exchange(message: ControlMessage): ResultAsync<ControlReply, PeerCallError> {
    return ResultAsync.fromPromise(this.#exchange(message), (error) => ({
      kind: 'unreachable',
      detail: error instanceof Error ? error.message : String(error),
    }));
  }

  /** Closes the stream; messages that wait for a reply fail. */
  close(): void {
    this.#drop(this.#stream, 'control stream closed');
  }

  async #exchange(message: ControlMessage): Promise<ControlReply> {
    const stream = this.#stream ?? this.#open();
    const id = this.#nextId;
    this.#nextId += 1;
    const reply = new Deferred<ControlReply>();
    stream.pending.set(id, reply);
    stream.outgoing.push(create(ControlRequestSchema, { id, message }));
    const timer = setTimeout(() => this.#expire(stream), this.#options.deadlineMilliseconds);
    try {
      return await reply.promise;
    } finally {
      clearTimeout(timer);
      stream.pending.delete(id);
    }
  }

  #expire(stream: OpenStream): void {
    this.#drop(stream, 'no answer within the deadline');
    this.#options.replaceConnection();
  }

  #open(): OpenStream {
    const stream: OpenStream = {
      outgoing: new AsyncQueue(),
      abort: new AbortController(),
      pending: new Map(),
    };
    this.#stream = stream;
    void this.#receive(stream);
    return stream;
  }

  async #receive(stream: OpenStream): Promise<void> {
    try {
      const responses = this.#options.client.control(stream.outgoing, {
        signal: stream.abort.signal,
      });
      for await (const response of responses) {
        stream.pending.get(response.id)?.resolve(response.message);
      }
      this.#drop(stream, 'control stream ended');
    } catch (error) {
      this.#drop(stream, error instanceof Error ? error.message : String(error));
    }
  }

  #drop(stream: OpenStream | undefined, reason: string): void {
    if (!stream) return;
    if (this.#stream === stream) this.#stream = undefined;
    stream.outgoing.close();
    stream.abort.abort();
    stream.pending.forEach((reply) => reply.reject(new Error(reason)));
    stream.pending.clear();
  }
}
