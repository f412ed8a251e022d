/* eslint n/no-sync: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { connect, createServer } from 'node:net';

/** The bandwidth of one machine, which all of its links share. */
export class Bandwidth {
  #bytesPerMillisecond;

  #freeAt = 0;

  constructor(megabitsPerSecond) {
    this.#bytesPerMillisecond = (megabitsPerSecond * 1_000_000) / 8 / 1_000;
  }

  /** Resolves when so many bytes have passed. */
  async pass(bytes) {
    this.#freeAt = Math.max(this.#freeAt, performance.now()) + bytes / this.#bytesPerMillisecond;
    const milliseconds = this.#freeAt - performance.now();
    if (milliseconds > 1) {
      await new Promise((done) => {
        setTimeout(done, milliseconds);
      });
    }
  }
}

/** A path from one machine to one address, which can be cut. */
export class Link {
  #port;

  #server;

  #sockets = new Set();

  #localPort = 0;

  #host;

  #bandwidth;

  constructor(address, bandwidth) {
    const [host, port] = address.split(':');
    this.#host = host;
    this.#port = Number(port);
    this.#bandwidth = bandwidth;
  }

  get address() {
    return `127.0.0.1:${this.#localPort}`;
  }

  async open() {
    this.#server = createServer((socket) => {
      const onward = connect(this.#port, this.#host);
      [socket, onward].forEach((one) => {
        this.#sockets.add(one);
        one.on('error', () => undefined);
        one.once('close', () => {
          this.#sockets.delete(one);
          (one === socket ? onward : socket).destroy();
        });
      });
      socket.pipe(onward);
      if (this.#bandwidth) this.#carry(onward, socket);
      else onward.pipe(socket);
    });
    await new Promise((resolve) => {
      this.#server.listen(this.#localPort, '127.0.0.1', resolve);
    });
    this.#localPort = this.#server.address().port;
  }

  /** Carries bytes at the bandwidth of the machine. */
  async #carry(from, to) {
    try {
      for await (const chunk of from) {
        await this.#bandwidth.pass(chunk.length);
        if (to.destroyed) return;
        to.write(chunk);
      }
      to.end();
    } catch {
      to.destroy();
    }
  }

  /** Resets the open connections; new ones are refused until the link is opened again. */
  async cut() {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  /** Open connections carry nothing from now on, without a reset; new ones work. */
  silence() {
    this.#sockets.forEach((socket) => {
      socket.unpipe();
      socket.pause();
      // What comes later must not end the other side either.
      socket.removeAllListeners('end');
    });
  }

  async close() {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server?.close();
  }
}
