import { once } from 'node:events';
import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { EndlessShape } from './endlessShapes';

const BATCH_BYTES = 64 * 1024;
/** Interval between batches: about 10 MB a second on each connection. */
const BATCH_MILLISECONDS = 6;

const REQUEST_ID = /^request-id: *(\S+)/im;

/** A target that answers each request with bytes without end. */
export class EndlessTarget {
  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  private constructor(shapeFor: (headers: string) => EndlessShape) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
      socket.on('error', () => undefined);
      socket.once('data', (head: Buffer) => {
        const [, id = ''] = REQUEST_ID.exec(head.toString()) ?? [];
        this.#send(socket, shapeFor(`request-id: ${id}\r\nresponse-signature: signed\r\n`));
      });
    });
  }

  static async start(shapeFor: (headers: string) => EndlessShape): Promise<EndlessTarget> {
    const target = new EndlessTarget(shapeFor);
    target.#server.listen(0, '127.0.0.1');
    await once(target.#server, 'listening');
    return target;
  }

  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Number of connections on which bytes are still sent. */
  get openConnections(): number {
    return this.#sockets.size;
  }

  stop(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #send(socket: Socket, { first, repeated }: EndlessShape): void {
    const batch = Buffer.from(repeated.repeat(Math.ceil(BATCH_BYTES / repeated.length)));
    socket.write(first);
    const timer = setInterval(() => {
      if (!socket.writableNeedDrain) socket.write(batch);
    }, BATCH_MILLISECONDS);
    socket.once('close', () => clearInterval(timer));
  }
}
