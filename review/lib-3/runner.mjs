/* eslint n/no-sync: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';

let signatures = 0;

/**
 * Stand-in of a runner. It runs `slots` requests at once and queues some; beyond that it declines.
 * `WORKx…` as the last part of the path is the work in milliseconds of a plain request, or the number
 * of events and the milliseconds of each for a stream.
 */
export class Runner {
  /** Every request that began to run. */
  runs = [];

  /** Every request that arrived. */
  arrivals = [];

  /** Share of the answers of which a second copy precedes the next answer on their connection. */
  copyShare = 0;

  copies = 0;

  #options;

  #server;

  #sockets = new Set();

  #running = 0;

  #queue = [];

  #copyOf = new Map();

  constructor(options) {
    this.#options = { slots: 4, queue: 4, isStreaming: false, tokens: 9, ...options };
  }

  get id() {
    return this.#options.id;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Entry of this runner in the store. */
  get entry() {
    const { service, zone, slots, version = 'v1' } = this.#options;
    return {
      service,
      address: this.address,
      zone,
      version,
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      seq: 1,
      born: this.born,
    };
  }

  async start() {
    this.born = Date.now();
    this.#server = createServer((request, response) => this.#receive(request, response));
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => {
        this.#sockets.delete(socket);
        this.#copyOf.delete(socket);
      });
    });
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Ends as a process does that crashes: all connections are reset. */
  crash() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  close() {
    this.#server?.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #receive(request, response) {
    const { socket, headers } = request;
    const copy = this.#copyOf.get(socket);
    if (copy !== undefined) {
      this.#copyOf.delete(socket);
      this.copies += 1;
      socket.write(copy);
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.once('end', () => {
      const job = { request, response, body: Buffer.concat(chunks), at: Date.now() };
      this.arrivals.push({ id: headers['request-id'], at: job.at });
      this.#admit(job);
    });
  }

  #admit(job) {
    const { headers } = job.request;
    const expected = headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) this.#decline(job, 421);
    else if (this.#running < this.#options.slots) this.#run(job);
    else if (this.#queue.length < this.#options.queue) this.#queue.push(job);
    else this.#decline(job, 503);
  }

  #decline({ request, response }, status) {
    this.#answer(request, response, status, { 'not-executed': '1' }, '');
  }

  #answer(request, response, status, more, body) {
    const fields = {
      'request-id': request.headers['request-id'] ?? '',
      'server-load': `${this.#running},${this.#queue.length},${this.#options.slots}`,
      'content-length': Buffer.byteLength(body),
      ...more,
    };
    response.writeHead(status, fields);
    response.end(body);
    if (Math.random() >= this.copyShare) return;
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
    this.#copyOf.set(
      request.socket,
      `HTTP/1.1 ${status} ${response.statusMessage}\r\n${lines.join('')}\r\n${body}`,
    );
  }

  #run(job) {
    const { request, response, body } = job;
    const { headers, url, method } = request;
    signatures += 1;
    const run = {
      id: headers['request-id'],
      at: Date.now(),
      url,
      method,
      tenant: headers.tenant,
      bytes: body.length,
      digest: createHash('sha256').update(body).digest('hex'),
      end: 'running',
      events: 0,
    };
    this.runs.push(run);
    this.#running += 1;
    let hasEnded = false;
    const finish = (end) => {
      if (hasEnded) return;
      hasEnded = true;
      run.end = end;
      run.endedAt = Date.now();
      this.#running -= 1;
      const next = this.#queue.shift();
      if (next && !next.response.destroyed) this.#admit(next);
    };
    response.once('close', () => finish('cut'));
    if (this.#options.crashesAt?.(body.toString(), run)) {
      run.crashed = true;
      setTimeout(() => this.#options.onCrash(this), 20);
      return;
    }
    const signature = `${this.id}.${signatures}`;
    const [first = '0', second] = (url.split('?')[0].split('/').at(-1) ?? '').split('x');
    if (this.#options.isStreaming) {
      this.#stream(
        run,
        response,
        { signature, events: Number(first), step: Number(second ?? 0) },
        finish,
      );
      return;
    }
    setTimeout(() => {
      if (hasEnded) return;
      finish('answered');
      this.#answer(request, response, 200, { 'response-signature': signature }, `done ${run.id}\n`);
    }, Number(first));
  }

  #stream(run, response, { signature, events, step }, finish) {
    const from = Number(response.req.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'request-id': run.id,
      'response-signature': signature,
    });
    const sendNext = (event) => {
      if (response.destroyed) return;
      if (event > events) {
        finish('answered');
        response.end();
        return;
      }
      Object.assign(run, { events: run.events + 1 });
      response.write(`id: ${event}\ndata: ${run.id}-${event}\n\n`);
      setTimeout(() => sendNext(event + 1), step);
    };
    setTimeout(() => sendNext(from), step);
  }
}
