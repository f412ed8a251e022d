import { once } from 'node:events';
import type { Http2Server, ServerHttp2Session } from 'node:http2';
import { createServer } from 'node:http2';
import type { ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { PeerService } from './generated/limpetnotch/peer/v1/peer_pb';

const MAXIMUM_MESSAGE_BYTES = 32 * 1024 * 1024;

/** Options of {@link PeerServer.start}. */
export interface PeerServerOptions {
  readonly host: string;
  /** TCP port; 0 lets the system choose. */
  readonly port: number;
  readonly service: Partial<ServiceImpl<typeof PeerService>>;
}

/** Serves the peer protocol to other instances: Connect over HTTP/2 without TLS. */
export class PeerServer {
  readonly #server: Http2Server;

  readonly #sessions = new Set<ServerHttp2Session>();

  private constructor(server: Http2Server) {
    this.#server = server;
    server.on('session', (session) => {
      this.#sessions.add(session);
      session.on('close', () => this.#sessions.delete(session));
      // The task of the peer observes the loss; without a listener, the error event would end the
      // process.
      session.on('error', () => this.#sessions.delete(session));
    });
  }

  /** Starts listening; rejects if the port is in use. */
  static async start({ host, port, service }: PeerServerOptions): Promise<PeerServer> {
    const handler = connectNodeAdapter({
      routes: (router) => router.service(PeerService, service),
      acceptCompression: [],
      readMaxBytes: MAXIMUM_MESSAGE_BYTES,
    });
    const server = createServer({}, handler);
    const peerServer = new PeerServer(server);
    server.listen(port, host);
    await once(server, 'listening');
    return peerServer;
  }

  /** TCP port on which the server listens; 0 if it does not listen. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Stops listening and closes every connection. */
  async close(): Promise<void> {
    this.#sessions.forEach((session) => session.destroy());
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }
}
