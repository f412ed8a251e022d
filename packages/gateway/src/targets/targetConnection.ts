import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import type { Exchange, ConnectionHandle } from './exchange';
import type { TargetRequest } from './targetRequest';
import { CLIENT_OPTIONS, CONNECT_TIMEOUT_MILLISECONDS, toDispatchOptions } from './targetRequest';

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS });

/** A connection to a target for one request at a time, opened on demand. */
export class TargetConnection {
  readonly #client: Client;

  #socket: Socket | undefined;

  constructor(address: string) {
    this.#client = new Client(`http://${address}`, {
      ...CLIENT_OPTIONS,
      connect: (options, callback) =>
        connect(options, (...opened) => {
          const [, socket] = opened;
          if (socket) this.#socket = socket;
          callback(...opened);
        }),
    });
  }

  /** Bytes received on the connection since it was last opened. */
  get bytesRead(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  /** Sends a request; calls `onRelease` when the request no longer needs the connection. */
  send(
    request: TargetRequest,
    exchange: Exchange,
    onRelease: ConnectionHandle['onRelease'] = () => undefined,
  ): void {
    exchange.attach({ connection: this, onRelease });
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
}
