import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Connections of callers, with the requests on each that have no whole answer yet. */
export class OpenConnections {
  readonly #requests = new Map<Socket, Set<ServerResponse>>();

  /** Connections whose next answer is their last. */
  readonly #closing = new WeakSet<Socket>();

  /** Number of open connections. */
  get size(): number {
    return this.#requests.size;
  }

  /** Number of requests whose answers have not left this process whole. */
  get openRequests(): number {
    return [...this.#requests.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** Notes a connection until it closes. */
  add(socket: Socket): void {
    this.#requests.set(socket, new Set());
    socket.once('close', () => this.#requests.delete(socket));
  }

  /**
   * Notes a request from its head until its answer is written whole. One that was sent behind the
   * last answer of its connection is left out: it can't be answered any more.
   */
  begin({ socket }: IncomingMessage, response: ServerResponse): void {
    const requests = this.#requests.get(socket);
    if (!requests || this.#closing.has(socket)) return;
    requests.add(response);
    response.once('close', () => requests.delete(response));
  }

  /** Whether a request waits for its answer and can get it. */
  isOpen(response: ServerResponse): boolean {
    return this.#requests.get(response.req.socket)?.has(response) ?? false;
  }

  /** Makes an answer the last of its connection; returns false where others wait behind it. */
  closeAfter({ req: { socket } }: ServerResponse): boolean {
    const { size } = this.#requests.get(socket) ?? new Set();
    if (size > 1) return false;
    this.#closing.add(socket);
    return true;
  }
}
