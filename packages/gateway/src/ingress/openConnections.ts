import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { closeOnceDone } from './closeOnceDone';
import type { IngressObserver } from './ingressObserver';

/** State of one connection. */
interface OpenConnection {
  /** Responses that have not completely left this process, and when their requests were read. */
  readonly responses: Map<ServerResponse, number>;
  readonly acceptedAtMilliseconds: number;
  lastRequest?: IncomingMessage;
  /** Bytes read when the last request was complete; undefined until then. */
  bytesReadAtRequestEnd?: number | undefined;
}

/** Connections of callers, with the requests on each that are not completely answered yet. */
export class OpenConnections {
  readonly #connections = new Map<Socket, OpenConnection>();

  /** Connections whose next response is their last. */
  readonly #closing = new WeakSet<Socket>();

  readonly #observer: IngressObserver | undefined;

  constructor(observer?: IngressObserver) {
    this.#observer = observer;
  }

  get size(): number {
    return this.#connections.size;
  }

  /** Number of requests whose responses have not completely left this process. */
  get openRequests(): number {
    return [...this.#connections.values()].reduce((sum, { responses }) => sum + responses.size, 0);
  }

  /** Tracks a connection until it closes. */
  add(socket: Socket): void {
    const acceptedAtMilliseconds = performance.now();
    this.#observer?.onConnection(socket);
    this.#connections.set(socket, { responses: new Map(), acceptedAtMilliseconds });
    socket.once('close', () => this.#connections.delete(socket));
  }

  /**
   * Tracks a request from its head until its response is completely written. A request that follows
   * the last response of its connection is ignored, since it can no longer be answered.
   */
  begin(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (!connection || this.#closing.has(socket)) return;
    const now = performance.now();
    connection.responses.set(response, now);
    if (!connection.lastRequest) {
      this.#observer?.onFirstRequest(now - connection.acceptedAtMilliseconds);
    }
    response.once('close', () => connection.responses.delete(response));
    connection.lastRequest = request;
    connection.bytesReadAtRequestEnd = undefined;
    request.once('end', () => {
      if (connection.lastRequest === request) connection.bytesReadAtRequestEnd = socket.bytesRead;
    });
  }

  /** Whether a request is waiting for its response and can still receive it. */
  isPending(response: ServerResponse): boolean {
    return this.#connections.get(response.req.socket)?.responses.has(response) ?? false;
  }

  /** Records that the handler of a request starts. */
  recordHandled(response: ServerResponse): void {
    const readAt = this.#connections.get(response.req.socket)?.responses.get(response);
    if (readAt !== undefined) this.#observer?.onHandled(performance.now() - readAt);
  }

  /** Makes a response the last of its connection; returns false if others are queued behind it. */
  closeConnectionAfter({ req: { socket } }: ServerResponse): boolean {
    const size = this.#connections.get(socket)?.responses.size ?? 0;
    if (size > 1) return false;
    this.#closing.add(socket);
    return true;
  }

  /** Whether a request of a connection was read completely and has no complete response yet. */
  hasCompleteRequest(socket: Socket): boolean {
    return this.#getResponses(socket).some(({ req }) => req.complete);
  }

  /** Closes a connection once the requests that were read completely have their responses. */
  closeAfterResponses(socket: Socket): void {
    closeOnceDone(socket, this.#getResponses(socket), () => !this.hasCompleteRequest(socket));
  }

  /**
   * Closes the connections that have served a request and are waiting for the next one: the last
   * response has completely left this process, and no byte has arrived since the last request was
   * complete.
   */
  closeIdle(): void {
    this.#connections.forEach(({ responses, bytesReadAtRequestEnd }, socket) => {
      if (responses.size === 0 && bytesReadAtRequestEnd === socket.bytesRead) socket.destroy();
    });
  }

  #getResponses(socket: Socket): readonly ServerResponse[] {
    return [...(this.#connections.get(socket)?.responses.keys() ?? [])];
  }
}
