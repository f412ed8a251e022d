// Plain modules without a build: their imports need extensions, and steps run one after another.
/* eslint-disable import-x/extensions, import-x/prefer-default-export, no-await-in-loop, no-restricted-syntax */
/** Stand-in of a model runner: streams a fixed number of events for each turn. */
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import { delay } from './deployment.mjs';

export class Engine {
  runs = [];

  #server;

  constructor(options) {
    this.options = { slots: 6, events: 4, stepMilliseconds: 15, host: '127.0.0.1', ...options };
    this.#server = createServer((request, response) => this.#serve(request, response));
    this.#server.keepAliveTimeout = 30_000;
    this.#server.requestTimeout = 0;
  }

  async start() {
    const { host } = this.options;
    await new Promise((resolve) => {
      this.#server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
    this.born = Date.now();
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  announce(store, state = 'ready') {
    const { id, service, zone, slots, version = 'v1' } = this.options;
    store.put(`servers/${id}`, {
      service,
      address: this.address,
      zone,
      version,
      slots,
      state,
      coldRemainingMs: 0,
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
      seq: 1,
      born: this.born,
    });
  }

  async #serve(request, response) {
    const run = {
      requestId: request.headers['request-id'],
      runner: this.options.id,
      at: performance.now(),
      bytes: 0,
      events: 0,
    };
    const digest = createHash('sha256');
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    try {
      for await (const chunk of request) {
        run.bytes += chunk.length;
        digest.update(chunk);
      }
    } catch {
      return;
    }
    run.digest = digest.digest('hex');
    const { id, events, stepMilliseconds, slots } = this.options;
    const expected = request.headers['expected-instance'];
    if (expected !== undefined && expected !== id) {
      response
        .writeHead(421, { 'request-id': run.requestId, 'instance-id': id, 'content-length': 0 })
        .end();
      return;
    }
    this.runs.push(run);
    response.writeHead(200, {
      'request-id': run.requestId,
      'response-signature': `signed-${run.requestId}`,
      'content-type': 'text/event-stream',
      'weight-versions': '1',
      'server-load': `1,0,${slots}`,
    });
    for (let event = 1; event <= events && !response.destroyed; event += 1) {
      await delay(stepMilliseconds);
      response.write(`id: ${event}\ndata: ${run.requestId} word ${event}\n\n`);
      run.events += 1;
    }
    response.end();
  }
}
