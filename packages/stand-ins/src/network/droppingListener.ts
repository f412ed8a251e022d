import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Worker } from 'node:worker_threads';

/** More connections than the queue of the listener takes; the system drops further ones. */
const FILLING_CONNECTIONS = 4;
const FILL_MILLISECONDS = 20;

/** Listens with a short queue and accepts nothing until the shared number changes. */
const WORKER_SCRIPT = `
const { createServer } = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const state = new Int32Array(workerData.shared);
const server = createServer();
server.listen({ port: workerData.port, host: workerData.host, backlog: 1 }, () => {
  parentPort.postMessage('listening');
  setImmediate(() => {
    Atomics.wait(state, 0, 0);
    process.exit();
  });
});
`;

/** A listener whose queue is full, so that the system drops the packets of new connections. */
export class DroppingListener {
  readonly #worker: Worker;

  readonly #state: Int32Array;

  readonly #fillers: readonly Socket[];

  private constructor(worker: Worker, state: Int32Array, fillers: readonly Socket[]) {
    this.#worker = worker;
    this.#state = state;
    this.#fillers = fillers;
  }

  /** Starts listening; nothing else may listen on the port. */
  static async start(host: string, port: number): Promise<DroppingListener> {
    const shared = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const worker = new Worker(WORKER_SCRIPT, { eval: true, workerData: { host, port, shared } });
    await new Promise<void>((resolve, reject) => {
      worker.once('message', () => resolve());
      worker.once('error', reject);
    });
    const fillers = Array.from({ length: FILLING_CONNECTIONS }, () => {
      const socket = connect({ host, port });
      socket.on('error', () => undefined);
      return socket;
    });
    await new Promise((resolve) => {
      setTimeout(resolve, FILL_MILLISECONDS);
    });
    return new DroppingListener(worker, new Int32Array(shared), fillers);
  }

  /** Stops listening; resolves when the port is free. */
  async stop(): Promise<void> {
    this.#fillers.forEach((socket) => socket.destroy());
    const ended = new Promise<void>((resolve) => {
      this.#worker.once('exit', () => resolve());
    });
    Atomics.store(this.#state, 0, 1);
    Atomics.notify(this.#state, 0);
    await ended;
  }
}
