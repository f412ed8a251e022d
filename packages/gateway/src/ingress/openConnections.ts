import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** What is known of one connection. */
interface OpenConnection {
  /** Answers that have not left this process whole. */
  readonly responses: Set<ServerResponse>;
  lastRequest?: IncomingMessage;
  /** Bytes read when the last request had arrived whole; undefined until it has. */
  bytesReadAtRequestEnd?: number | undefined;
}

/** Connections of callers, with the requests on each that have no whole answer yet. */
export class OpenConnections {
  readonly #connections = new Map<Socket, OpenConnection>();

  /** Connections whose next answer is their last. */
  readonly #closing = new WeakSet<Socket>();

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Number of requests whose answers have not left this process whole. */
  get openRequests(): number {
    return [...this.#connections.values()].reduce((sum, { responses }) => sum + responses.size, 0);
  }

  /** Notes a connection until it closes. */
  add(socket: Socket): void {
    this.#connections.set(socket, { responses: new Set() });
    socket.once('close', () => this.#connections.delete(socket));
  }

  /**
   * Notes a request from its head until its answer is written whole. One that was sent behind the
   * last answer of its connection is left out: it can't be answered any more.
   */
  begin(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (!connection || this.#closing.has(socket)) return;
    connection.responses.add(response);
    response.once('close', () => connection.responses.delete(response));
    connection.lastRequest = request;
    connection.bytesReadAtRequestEnd = undefined;
    request.once('end', () => {
      if (connection.lastRequest === request) connection.bytesReadAtRequestEnd = socket.bytesRead;
    });
  }

  /** Whether a request waits for its answer and can get it. */
  isPending(response: ServerResponse): boolean {
    return this.#connections.get(response.req.socket)?.responses.has(response) ?? false;
  }

  /** Makes an answer the last of its connection; returns false where others wait behind it. */
  closeConnectionAfter({ req: { socket } }: ServerResponse): boolean {
    const size = this.#connections.get(socket)?.responses.size ?? 0;
    if (size > 1) return false;
    this.#closing.add(socket);
    return true;
  }

  /**
   * Closes the connections that have served a request and wait for the next one: the last answer has
   * left this process whole, and no byte has come since the last request arrived whole.
   */
  closeIdle(): void {
    this.#connections.forEach(({ responses, bytesReadAtRequestEnd }, socket) => {
      if (responses.size === 0 && bytesReadAtRequestEnd === socket.bytesRead) socket.destroy();
    });
  }
}
