/* eslint n/no-sync: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { connect, createServer } from 'node:net';

/** A path from one machine to one address, which can be cut. */
export class Link {
  #port;

  #server;

  #sockets = new Set();

  #localPort = 0;

  #host;

  constructor(address) {
    const [host, port] = address.split(':');
    this.#host = host;
    this.#port = Number(port);
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
      socket.pipe(onward).pipe(socket);
    });
    await new Promise((resolve) => {
      this.#server.listen(this.#localPort, '127.0.0.1', resolve);
    });
    this.#localPort = this.#server.address().port;
  }

  /** Resets the open connections; new ones are refused until the link is opened again. */
  async cut() {
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  async close() {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server?.close();
  }
}
