import { once } from 'node:events';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { FleetService } from '@limpetnotch/peer-protocol';

/** Options of {@link FleetServer.start}. */
export interface FleetServerOptions {
  readonly host: string;
  /** TCP port; 0 lets the system choose. */
  readonly port: number;
  readonly service: Partial<ServiceImpl<typeof FleetService>>;
}

/** Listens for other instances, by connect over HTTP/1.1: their messages are few and short. */
export class FleetServer {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /** Starts to listen; rejects when the port is taken. */
  static async start({ host, port, service }: FleetServerOptions): Promise<FleetServer> {
    const handler = connectNodeAdapter({
      routes: (router) => router.service(FleetService, service),
      acceptCompression: [],
    });
    const server = createServer(handler);
    server.listen(port, host);
    await once(server, 'listening');
    return new FleetServer(server);
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
