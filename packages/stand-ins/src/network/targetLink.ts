import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { DroppingListener } from './droppingListener';
import type { LinkMode } from './linkMode';

const HOST = '127.0.0.1';

interface ForwardedConnection {
  readonly near: Socket;
  readonly far: Socket;
}

const silence = ({ near, far }: ForwardedConnection): void => {
  near.unpipe();
  far.unpipe();
  near.pause();
  far.pause();
};

const forward = ({ near, far }: ForwardedConnection): void => {
  // A second pipe would write all bytes twice.
  near.unpipe();
  far.unpipe();
  near.pipe(far);
  far.pipe(near);
};

/** Passes connections of one instance on to one target, and can be cut. */
export class TargetLink {
  readonly #targetPort: number;

  readonly #connections = new Set<ForwardedConnection>();

  #server: Server | undefined;

  #dropping: DroppingListener | undefined;

  #port = 0;

  #mode: LinkMode = 'open';

  /** Changes run one after another. */
  #changed: Promise<void> = Promise.resolve();

  private constructor(targetPort: number) {
    this.#targetPort = targetPort;
  }

  static async start(targetPort: number, mode: LinkMode): Promise<TargetLink> {
    const link = new TargetLink(targetPort);
    await link.#listen();
    await link.setMode(mode);
    return link;
  }

  /** Port on 127.0.0.1 at which the instance reaches the target. */
  get port(): number {
    return this.#port;
  }

  /** Cuts the link, or opens it again; resolves when the change is in force. */
  setMode(mode: LinkMode): Promise<void> {
    this.#changed = this.#changed.then(() => this.#change(mode));
    return this.#changed;
  }

  async stop(): Promise<void> {
    await this.setMode('reset');
  }

  async #change(mode: LinkMode): Promise<void> {
    if (mode === this.#mode) return;
    this.#mode = mode;
    await this.#dropping?.stop();
    this.#dropping = undefined;
    switch (mode) {
      case 'open':
        this.#connections.forEach(forward);
        await this.#listen();
        return;
      case 'drop':
        this.#connections.forEach(silence);
        await this.#refuse();
        this.#dropping = await DroppingListener.start(HOST, this.#port);
        return;
      case 'reset':
        this.#connections.forEach(({ near, far }) => {
          near.resetAndDestroy();
          far.destroy();
        });
        await this.#refuse();
        return;
      case 'refuse':
        await this.#refuse();
    }
  }

  async #listen(): Promise<void> {
    const server = createServer((near) => this.#accept(near));
    server.listen(this.#port, HOST);
    await once(server, 'listening');
    const address = server.address();
    this.#port = typeof address === 'object' && address ? address.port : 0;
    this.#server = server;
  }

  /** Closes the listener; open connections stay. */
  async #refuse(): Promise<void> {
    this.#server?.close();
    this.#server = undefined;
    await new Promise(setImmediate);
  }

  #accept(near: Socket): void {
    const connection = { near, far: connect({ host: HOST, port: this.#targetPort }) };
    this.#connections.add(connection);
    const { far } = connection;
    const end = (): void => {
      this.#connections.delete(connection);
      near.destroy();
      far.destroy();
    };
    near.once('close', end).on('error', () => undefined);
    far.once('close', end).on('error', () => undefined);
    forward(connection);
  }
}
