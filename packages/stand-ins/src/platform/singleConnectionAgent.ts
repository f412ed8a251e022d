import { Agent } from 'node:http';
import type { Socket } from 'node:net';

/** Hands out one connection that is open already, and never opens another. */
export class SingleConnectionAgent extends Agent {
  readonly #socket: Socket;

  #isTaken = false;

  constructor(socket: Socket) {
    super({ keepAlive: true, maxSockets: 1 });
    this.#socket = socket;
  }

  override createConnection(): Socket {
    if (this.#isTaken) throw new Error('the connection is closed');
    this.#isTaken = true;
    return this.#socket;
  }
}
