import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Connections of callers, with the requests on each that have no whole answer yet. */
export class EntryConnections {
  readonly #responses = new Map<Socket, Set<ServerResponse>>();

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => this.#add(socket));
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
      const responses = this.#responses.get(request.socket);
      responses?.add(response);
      response.once('close', () => responses?.delete(response));
    });
  }

  /** Requests whose bodies have not arrived whole. */
  get arriving(): readonly ServerResponse[] {
    return [...this.#responses.values()]
      .flatMap((responses) => [...responses])
      .filter(({ req }) => !req.complete);
  }

  /** Closes the connections on which no request has been read. */
  closeUnused(): void {
    this.#responses.forEach(({ size }, socket) => {
      if (size === 0) socket.destroy();
    });
  }

  #add(socket: Socket): void {
    this.#responses.set(socket, new Set());
    socket.once('close', () => this.#responses.delete(socket));
  }
}
