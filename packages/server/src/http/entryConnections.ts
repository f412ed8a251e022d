import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** State of one connection. */
interface EntryConnection {
  /** Responses that have not been flushed completely from this process. */
  readonly openResponses: Set<ServerResponse>;
  lastRequest?: IncomingMessage;
  /** Bytes read when the last request was complete; undefined until then. */
  bytesReadAtRequestEnd?: number | undefined;
}

/** Connections of callers, with the responses on each that are not yet complete. */
export class EntryConnections {
  readonly #connections = new Map<Socket, EntryConnection>();

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => this.#addConnection(socket));
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) =>
      this.#addRequest(request, response),
    );
  }

  /** Responses to requests whose bodies have not arrived completely. */
  get responsesToIncompleteRequests(): readonly ServerResponse[] {
    return [...this.#connections.values()]
      .flatMap(({ openResponses: responses }) => [...responses])
      .filter(({ req }) => !req.complete);
  }

  /** Responses that have ended but have not been flushed completely from this process. */
  get endedResponses(): readonly ServerResponse[] {
    return [...this.#connections.values()]
      .flatMap(({ openResponses: responses }) => [...responses])
      .filter(({ writableEnded }) => writableEnded);
  }

  /** Whether a request of a connection was read completely and has no complete response yet. */
  hasCompleteRequest(socket: Socket): boolean {
    const responses = [...(this.#connections.get(socket)?.openResponses ?? [])];
    return responses.some(({ req }) => req.complete);
  }

  /** Closes the connections without an open request. */
  closeWithoutRequest(): void {
    this.#connections.forEach(({ openResponses: responses }, socket) => {
      if (responses.size === 0) socket.destroy();
    });
  }

  /**
   * Closes the connections that have served a request and wait for the next one: the last response
   * has been flushed completely, and no byte has arrived since the end of the last request.
   */
  closeIdle(): void {
    this.#connections.forEach(({ openResponses: responses, bytesReadAtRequestEnd }, socket) => {
      if (responses.size === 0 && bytesReadAtRequestEnd === socket.bytesRead) socket.destroy();
    });
  }

  #addConnection(socket: Socket): void {
    this.#connections.set(socket, { openResponses: new Set() });
    socket.once('close', () => this.#connections.delete(socket));
  }

  #addRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (!connection) return;
    connection.openResponses.add(response);
    response.once('close', () => connection.openResponses.delete(response));
    connection.lastRequest = request;
    connection.bytesReadAtRequestEnd = undefined;
    request.once('end', () => {
      if (connection.lastRequest === request) connection.bytesReadAtRequestEnd = socket.bytesRead;
    });
  }
}
