import type { Socket } from 'node:net';
import { connect } from 'node:net';

const PROGRESS_INTERVAL_MILLISECONDS = 100;

/** A crowd has settled once none of its connections has made progress for so long. */
const SETTLED_INTERVALS = 15;

const LONGEST_INTERVALS = 200;

/** Connections that belong to one crowd; none of them reads what it is sent. */
export class CrowdConnections {
  readonly #sockets: Socket[] = [];

  /** Opens connections; those that are refused or closed later count as ended. */
  async open(host: string, port: number, count: number): Promise<readonly Socket[]> {
    const opened = Array.from({ length: count }, () => {
      const socket = connect({ host, port, noDelay: true });
      socket.on('error', () => undefined);
      return socket;
    });
    this.#sockets.push(...opened);
    await Promise.all(
      opened.map(
        (socket) =>
          new Promise<void>((resolve) => {
            socket.once('connect', () => resolve());
            socket.once('close', () => resolve());
          }),
      ),
    );
    return opened;
  }

  /** Resolves when the connections send nothing more, as all is sent or is not read. */
  async waitUntilSettled(): Promise<void> {
    let last = -1;
    let unchanged = 0;
    for (let interval = 0; interval < LONGEST_INTERVALS; interval += 1) {
      const now = this.#progress;
      unchanged = now === last ? unchanged + 1 : 0;
      if (unchanged >= SETTLED_INTERVALS) return;
      last = now;
      await new Promise((resolve) => {
        setTimeout(resolve, PROGRESS_INTERVAL_MILLISECONDS);
      });
    }
  }

  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  get #progress(): number {
    return this.#sockets.reduce(
      (sum, { bytesWritten, writableLength, destroyed }) =>
        sum + (destroyed ? 0 : bytesWritten - writableLength),
      0,
    );
  }
}
