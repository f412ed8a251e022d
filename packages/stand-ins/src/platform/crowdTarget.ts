import { once } from 'node:events';
import type { Server } from 'node:http';
import { createServer } from 'node:http';

/** Path that is answered with a large body. */
export const LARGE_PATH = '/large/';

const LARGE_ANSWER = Buffer.alloc(2 * 1024 * 1024, 'a');
const SMALL_ANSWER = Buffer.from('served');

/** A target that answers each request as soon as it is complete. */
export class CrowdTarget {
  readonly #server: Server;

  private constructor() {
    this.#server = createServer((request, response) => {
      request.resume();
      request.once('end', () => {
        const body = request.url?.startsWith(LARGE_PATH) ? LARGE_ANSWER : SMALL_ANSWER;
        response.writeHead(200, {
          'request-id': request.headers['request-id'],
          'response-signature': 'signed',
          'content-length': body.length,
        });
        response.end(body);
      });
    });
  }

  static async start(): Promise<CrowdTarget> {
    const target = new CrowdTarget();
    target.#server.listen(0, '127.0.0.1');
    await once(target.#server, 'listening');
    return target;
  }

  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
