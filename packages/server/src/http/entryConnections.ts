import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** What is known of one connection. */
interface EntryConnection {
  /** Answers that have not left this process whole. */
  readonly responses: Set<ServerResponse>;
  lastRequest?: IncomingMessage;
  /** Bytes read when the last request had arrived whole; undefined until it has. */
  wholeAtBytes?: number | undefined;
}

/** Connections of callers, with the requests on each that have no whole answer yet. */
export class EntryConnections {
  readonly #connections = new Map<Socket, EntryConnection>();

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => this.#add(socket));
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) =>
      this.#begin(request, response),
    );
  }

  /** Requests whose bodies have not arrived whole. */
  get arriving(): readonly ServerResponse[] {
    return [...this.#connections.values()]
      .flatMap(({ responses }) => [...responses])
      .filter(({ req }) => !req.complete);
  }

  /** Answers that are written and have not left this process whole. */
  get leaving(): readonly ServerResponse[] {
    return [...this.#connections.values()]
      .flatMap(({ responses }) => [...responses])
      .filter(({ writableEnded }) => writableEnded);
  }

  /** Closes the connections on which no request has been read. */
  closeUnused(): void {
    this.#connections.forEach(({ responses }, socket) => {
      if (responses.size === 0) socket.destroy();
    });
  }

  /**
   * Closes the connections that have served a request and wait for the next one: the last answer has
   * left this process whole, and no byte has come since the last request arrived whole.
   */
  closeIdle(): void {
    this.#connections.forEach(({ responses, wholeAtBytes }, socket) => {
      if (responses.size === 0 && wholeAtBytes === socket.bytesRead) socket.destroy();
    });
  }

  #add(socket: Socket): void {
    this.#connections.set(socket, { responses: new Set() });
    socket.once('close', () => this.#connections.delete(socket));
  }

  #begin(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (!connection) return;
    connection.responses.add(response);
    response.once('close', () => connection.responses.delete(response));
    connection.lastRequest = request;
    connection.wholeAtBytes = undefined;
    request.once('end', () => {
      if (connection.lastRequest === request) connection.wholeAtBytes = socket.bytesRead;
    });
  }
}
