import { once } from 'node:events';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { TextMetrics } from './textMetrics';

const METRICS_PATH = '/metrics';

/** Options of {@link MetricsServer.start}. */
export interface MetricsServerOptions {
  readonly host: string;
  /** TCP port; 0 lets the system choose. */
  readonly port: number;
  readonly metrics: TextMetrics;
}

/** Serves metrics as text at `/metrics`. */
export class MetricsServer {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /** Starts to listen; rejects when the port is taken. */
  static async start({ host, port, metrics }: MetricsServerOptions): Promise<MetricsServer> {
    const server = createServer((request, response) => {
      if (request.method !== 'GET' || request.url !== METRICS_PATH) {
        response.writeHead(404).end();
        return;
      }
      metrics.text().then(
        (text) => response.writeHead(200, { 'content-type': metrics.contentType }).end(text),
        () => response.writeHead(500).end(),
      );
    });
    server.listen(port, host);
    await once(server, 'listening');
    return new MetricsServer(server);
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
