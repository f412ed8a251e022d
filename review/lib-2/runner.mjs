// Plain modules without a build: their imports need extensions, and steps run one after another.
/* eslint-disable import-x/prefer-default-export, no-restricted-syntax, no-param-reassign */
/** Stand-in of a runner of a plain service: slots, a short queue, and the headers of the pages. */
import { createServer } from 'node:http';

export class Runner {
  runs = [];

  running = 0;

  waiting = [];

  isLeaving = false;

  #server;

  constructor(options) {
    this.options = { slots: 6, queue: 24, workMilliseconds: 50, host: '127.0.0.1', ...options };
    this.#server = createServer((request, response) => this.#serve(request, response));
    this.#server.keepAliveTimeout = 30_000;
  }

  async start() {
    const { host } = this.options;
    await new Promise((resolve) => {
      this.#server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
    this.born = Date.now();
  }

  /** Ends as a process does: its listener and all connections close. */
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
      seq: 1,
      born: this.born,
    });
  }

  async #serve(request, response) {
    const at = performance.now();
    const chunks = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const { id, slots, queue } = this.options;
    const { headers } = request;
    const echo = headers['request-id'] ? { 'request-id': headers['request-id'] } : {};
    if (headers['expected-instance'] !== undefined && headers['expected-instance'] !== id) {
      response.writeHead(421, { ...echo, 'instance-id': id, 'content-length': 0 }).end();
      return;
    }
    if (this.running >= slots && this.waiting.length >= queue) {
      response.writeHead(503, { ...echo, 'not-executed': '1', 'content-length': 0 }).end();
      return;
    }
    const run = { requestId: headers['request-id'], at, runner: id, headers, url: request.url };
    run.body = Buffer.concat(chunks);
    if (this.running >= slots) {
      await new Promise((resolve) => {
        const wake = () => resolve();
        this.waiting.push(wake);
        response.once('close', () => {
          this.waiting = this.waiting.filter((other) => other !== wake);
          resolve();
        });
      });
    }
    if (response.destroyed) return;
    this.running += 1;
    this.runs.push(run);
    run.beganAt = performance.now();
    try {
      await this.work(run, request, response);
    } finally {
      this.running -= 1;
      run.endedAt = performance.now();
      this.waiting.shift()?.();
    }
  }

  get load() {
    return `${this.running},${this.waiting.length},${this.options.slots}`;
  }

  get leavingHeaders() {
    return this.isLeaving ? { 'server-leaving': '1' } : {};
  }

  /** Runs a request and answers it. */
  async work(run, request, response) {
    const { workMilliseconds } = this.options;
    const isDropped = await new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), workMilliseconds);
      response.once('close', () => {
        clearTimeout(timer);
        resolve(true);
      });
    });
    run.isDropped = isDropped;
    if (isDropped) return;
    const body = Buffer.from(`done ${run.requestId}\n`.padEnd(800, '.'));
    response.writeHead(200, {
      'request-id': run.requestId,
      'response-signature': `signed-${run.requestId}`,
      'server-load': this.load,
      ...this.leavingHeaders,
      'content-length': body.length,
    });
    response.end(body);
  }
}
