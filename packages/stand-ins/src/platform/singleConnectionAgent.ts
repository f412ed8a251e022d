import { Agent } from 'node:http';
import type { Socket } from 'node:net';

/** Agent that uses one connection that is already open and never opens another. */
export class SingleConnectionAgent extends Agent {
  readonly #socket: Socket;

  #isUsed = false;

  constructor(socket: Socket) {
    super({ keepAlive: true, maxSockets: 1 });
    this.#socket = socket;
  }

  override createConnection(): Socket {
    if (this.#isUsed) throw new Error('the connection is closed');
    this.#isUsed = true;
    return this.#socket;
  }
}
