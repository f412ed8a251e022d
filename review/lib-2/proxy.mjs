// Plain modules without a build: their imports need extensions, and steps run one after another.
/* eslint-disable import-x/prefer-default-export */
/** A proxy whose open connections can fall silent without a reset, while new ones work. */
import { connect, createServer } from 'node:net';

export class Proxy {
  #pairs = new Set();

  #server = createServer((client) => this.#accept(client));

  #targetPort;

  /** Called with the text of each request that passes. */
  onRequest;

  constructor(targetPort) {
    this.#targetPort = targetPort;
  }

  async start(host) {
    await new Promise((resolve) => {
      this.#server.listen(0, host, resolve);
    });
    return this.#server.address().port;
  }

  /** Lets nothing pass any more on the connections that are open now; returns their number. */
  silence() {
    this.#pairs.forEach((pair) => Object.assign(pair, { isSilent: true }));
    return this.#pairs.size;
  }

  stop() {
    this.#server.close();
    this.#pairs.forEach(({ client, upstream }) => {
      client.destroy();
      upstream.destroy();
    });
  }

  #accept(client) {
    const upstream = connect(this.#targetPort, '127.0.0.1');
    const pair = { client, upstream, isSilent: false };
    this.#pairs.add(pair);
    client.on('data', (bytes) => {
      if (pair.isSilent) return;
      this.onRequest?.(bytes.toString('latin1'));
      upstream.write(bytes);
    });
    upstream.on('data', (bytes) => {
      if (!pair.isSilent) client.write(bytes);
    });
    const end = () => {
      this.#pairs.delete(pair);
      client.destroy();
      upstream.destroy();
    };
    client.on('close', end);
    client.on('error', end);
    // What the store does on a silent connection does not reach the client.
    const endUpstream = () => {
      if (!pair.isSilent) end();
    };
    upstream.on('close', endUpstream);
    upstream.on('error', endUpstream);
  }
}
