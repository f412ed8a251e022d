import { once } from 'node:events';
import type { RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';
import type { ConnectionGuard } from './connectionGuard';

/** Options of {@link HttpListener.start}. */
export interface HttpListenerOptions {
  readonly host: string;
  /** TCP port; 0 lets the operating system choose one. */
  readonly port: number;
  readonly listener: RequestListener;
  /** Time after which an idle connection is closed; that of the runtime, 5 s, by default. */
  readonly idleMilliseconds?: number;
  /** Bounds what callers hold. */
  readonly guard?: ConnectionGuard;
}

/** HTTP/1.1 listener for few and short requests, such as those of other instances. */
export class HttpListener {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /** Starts listening; rejects if the port is in use. */
  static async start({
    host,
    port,
    listener,
    idleMilliseconds,
    guard,
  }: HttpListenerOptions): Promise<HttpListener> {
    const server = createServer(
      idleMilliseconds === undefined ? {} : { keepAliveTimeout: idleMilliseconds },
      (request, response) => {
        if (guard && !guard.admit(request, response)) return;
        guard?.recordHandled(response);
        listener(request, response);
      },
    );
    guard?.attach(server);
    server.listen(port, host);
    await once(server, 'listening');
    return new HttpListener(server);
  }

  /** TCP port on which the server listens. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Stops listening and closes every connection. */
  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }
}
