/* eslint-disable import-x/prefer-default-export, no-restricted-syntax -- plain modules, written straight down, without a build */
/**
 * Stand-in of a runner. It serves event streams or plain answers from a number of slots with a queue,
 * one request at a time on a connection, and announces itself in the store.
 */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';

/** A chunk with an empty event: a blank line. */
const BLANK_CHUNK = '2\r\n\n\n\r\n';

export class Runner {
  #options;

  #server;

  #sockets = new Set();

  #running = new Set();

  #queue = [];

  #heartbeat;

  #seq = 0;

  #state = 'ready';

  isUp = false;

  bornMilliseconds = 0;

  /** Factor by which the runner is slower than usual. */
  slowness = 1;

  /** Requests a second that the runner names as its limit; 0 for none. */
  limitPerSecond = 0;

  /** Spoils each answer of this number of answers by a status that no response has; 0 for none. */
  spoiltOneIn = 0;

  #answers = 0;

  /** Bytes a second of the blank lines that fill the bodies of a runner in trouble; 0 for none. */
  blankBytesPerSecond = 0;

  constructor(options) {
    this.#options = { slots: 16, queue: 48, address: '', version: 'v1', ...options };
  }

  get id() {
    return this.#options.id;
  }

  get address() {
    return this.#options.address;
  }

  get version() {
    return this.#options.version;
  }

  get load() {
    return this.#running.size + this.#queue.length;
  }

  /**
   * Starts a lifetime of the runner, at the same address as before if it had one. The changes may be
   * a function of the time of its start.
   */
  async start(changes = {}) {
    const bornMilliseconds = Date.now();
    this.bornMilliseconds = bornMilliseconds;
    const changed = typeof changes === 'function' ? changes(bornMilliseconds) : changes;
    this.#options = { ...this.#options, ...changed };
    const [host, port] = (this.#options.address || `${this.#options.host}:0`).split(':');
    this.#server = createServer((request, response) => this.#handle(request, response));
    this.#server.keepAliveTimeout = 30_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(Number(port), host, resolve);
    });
    this.#options.address = `${host}:${this.#server.address().port}`;
    this.#seq = 0;
    this.#state = 'ready';
    this.isUp = true;
    this.#announce();
    this.#heartbeat = setInterval(() => this.#announce(), 1_200);
  }

  /** Ends the lifetime as a crash does: all connections break and nothing is announced any more. */
  crash() {
    this.isUp = false;
    clearInterval(this.#heartbeat);
    this.#queue.splice(0);
    this.#running.forEach((run) => this.#end(run, 'crashed'));
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Announces that the runner leaves; it goes on serving until it is stopped. */
  drain() {
    this.#state = 'draining';
    return this.#announce();
  }

  #announce() {
    const { id, service, address, zone, version, slots } = this.#options;
    this.#seq += 1;
    return this.#options.announce(`servers/${id}`, {
      service,
      address,
      zone,
      version,
      slots,
      state: this.#state,
      coldRemainingMs: 0,
      seq: this.#seq,
      born: this.bornMilliseconds,
    });
  }

  async #handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const { headers } = request;
    const id = headers['request-id'];
    const decline = (status) => {
      response.writeHead(status, {
        ...(id === undefined ? {} : { 'request-id': id }),
        'not-executed': '1',
        'instance-id': this.id,
        'server-load': this.#loadText,
        'content-length': 0,
      });
      response.end();
    };
    if (id === undefined) {
      decline(400);
      return;
    }
    if (headers['expected-instance'] !== undefined && headers['expected-instance'] !== this.id) {
      decline(421);
      return;
    }
    const run = { id, request, response, url: request.url, headers, at: performance.now() };
    this.#options.record({ kind: 'arrived', request: id, runner: this.id, version: this.version });
    if (this.#running.size >= this.#options.slots) {
      if (this.#queue.length >= this.#options.queue) {
        this.#options.record({ kind: 'declined', request: id, runner: this.id });
        decline(503);
        return;
      }
      this.#queue.push(run);
      response.once('close', () => {
        this.#queue = this.#queue.filter((queued) => queued !== run);
      });
      return;
    }
    this.#run(run);
  }

  get #loadText() {
    return `${this.#running.size},${this.#queue.length},${this.#options.slots}`;
  }

  #run(run) {
    const { response, headers, id, url } = run;
    const isStream = this.#options.isStreaming;
    const [count, step] = url.split('?')[0].split('/').at(-1).split('x').map(Number);
    const state = Object.assign(run, {
      signature: randomBytes(8).toString('hex'),
      next: isStream ? Number(headers['last-event-id'] ?? 0) + 1 : 1,
      last: count,
      timer: undefined,
    });
    this.#running.add(state);
    this.#options.record({
      kind: 'runs',
      request: id,
      runner: this.id,
      version: this.version,
      from: state.next,
    });
    response.once('close', () => this.#end(state, 'cancelled'));
    const head = () => ({
      'request-id': id,
      'response-signature': state.signature,
      'server-load': this.#loadText,
      ...(this.limitPerSecond > 0 && { 'server-limit': String(this.limitPerSecond) }),
    });
    const advance = () => {
      if (!this.#running.has(state)) return;
      if (this.blankBytesPerSecond > 0) {
        if (!response.headersSent) {
          response.writeHead(200, { ...head(), 'content-type': 'text/event-stream' });
        }
        this.#sendBlankLines(state);
        return;
      }
      if (!isStream && this.#isSpoilt()) {
        const start = `HTTP/1.1 ${this.#options.spoiltStatus}\r\nrequest-id: ${id}\r\n`;
        response.socket.end(`${start}content-length: 0\r\n\r\n`);
        this.#end(state, 'spoilt');
        return;
      }
      if (!isStream) {
        const body = `${id} ran at ${this.id}\n`;
        response.writeHead(200, { ...head(), 'content-length': Buffer.byteLength(body) });
        response.end(body);
        this.#end(state, 'answered');
        return;
      }
      if (!response.headersSent) {
        response.writeHead(200, { ...head(), 'content-type': 'text/event-stream' });
      }
      if (state.next <= state.last) {
        response.write(`id: ${state.next}\ndata: ${id} ${this.id} ${this.version}\n\n`);
        state.next += 1;
      }
      if (state.next > state.last) {
        response.end();
        this.#end(state, 'answered');
        return;
      }
      state.timer = setTimeout(advance, step * this.slowness);
    };
    state.timer = setTimeout(advance, (isStream ? step : count * step) * this.slowness);
  }

  #isSpoilt() {
    if (this.spoiltOneIn === 0) return false;
    this.#answers += 1;
    return this.#answers % this.spoiltOneIn === 0;
  }

  /** Sends chunks of one blank line each, which are no events, until the caller closes. */
  #sendBlankLines(run) {
    const { response } = run;
    response.flushHeaders();
    const { socket } = response;
    const timer = setInterval(() => {
      if (!this.#running.has(run) || socket.destroyed) {
        clearInterval(timer);
        return;
      }
      if (this.blankBytesPerSecond === 0) {
        clearInterval(timer);
        response.destroy();
        return;
      }
      const share = this.blankBytesPerSecond / 100 / this.#running.size;
      if (socket.writableNeedDrain) return;
      socket.write(BLANK_CHUNK.repeat(Math.ceil(share / BLANK_CHUNK.length)));
    }, 10);
  }

  #end(run, how) {
    if (!this.#running.delete(run)) return;
    clearTimeout(run.timer);
    this.#options.record({ kind: how, request: run.id, runner: this.id });
    const next = this.#queue.shift();
    if (next && this.isUp) this.#run(next);
  }
}
