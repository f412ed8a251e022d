import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Connections of callers, with the requests on each that have no whole answer yet. */
export class OpenConnections {
  readonly #requests = new Map<Socket, Set<ServerResponse>>();

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

  /** Notes a request from its head until its answer is written whole. */
  begin({ socket }: IncomingMessage, response: ServerResponse): void {
    const requests = this.#requests.get(socket);
    requests?.add(response);
    response.once('close', () => requests?.delete(response));
  }
}
