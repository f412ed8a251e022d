import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import type { Exchange, ConnectionHandle } from './exchange';
import { CarriedRequests } from './carriedRequests';
import type { TargetRequest } from './targetRequest';
import { CLIENT_OPTIONS, CONNECT_TIMEOUT_MILLISECONDS, toDispatchOptions } from './targetRequest';

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS });

const RESET_CODE = 'ECONNRESET';

/** A connection to a target for one request at a time, opened on demand. */
export class TargetConnection {
  readonly #client: Client;

  #socket: Socket | undefined;

  #failureCode: string | undefined;

  readonly carriedRequests = new CarriedRequests();

  constructor(address: string) {
    this.#client = new Client(`http://${address}`, {
      ...CLIENT_OPTIONS,
      connect: (options, callback) =>
        connect(options, (...opened) => {
          const [, socket] = opened;
          if (socket) this.#observe(socket);
          callback(...opened);
        }),
    });
  }

  /** Bytes received on the connection since it was last opened. */
  get bytesRead(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  /** Code of the first error of the connection, even of the client's own; undefined if none. */
  get failureCode(): string | undefined {
    return this.#failureCode;
  }

  /** Sends a request; calls `onRelease` when the request no longer needs the connection. */
  send(
    request: TargetRequest,
    exchange: Exchange,
    onRelease: ConnectionHandle['onRelease'] = () => undefined,
  ): void {
    const { id, decodeResponseId } = request;
    const isOwnResponse = (rawHeaders: readonly string[]): boolean =>
      decodeResponseId(rawHeaders) === id;
    exchange.attach({ connection: this, isOwnResponse, onRelease });
    this.#client.dispatch(toDispatchOptions(request), exchange);
  }

  /** Closes the connection once the response to its request is complete. */
  async close(): Promise<void> {
    await this.#client.close();
  }

  /** Closes the connection; a request in flight fails. */
  async destroy(): Promise<void> {
    await this.#client.destroy();
  }

  /** Listens before the client does, so that an error is known when the client ends a response. */
  #observe(socket: Socket): void {
    this.#socket = socket;
    this.#failureCode = undefined;
    const record = (code: string): void => {
      if (this.#socket === socket) this.#failureCode ??= code;
    };
    socket.once('error', (error: NodeJS.ErrnoException) => record(error.code ?? error.name));
    // The runtime reports a reset that arrives together with data as an orderly end. Only a socket
    // that was closed in order still has a peer then.
    socket.once('end', () => {
      if (socket.remoteAddress === undefined) record(RESET_CODE);
    });
  }
}
