/* eslint-disable import-x/prefer-default-export, no-restricted-syntax -- plain modules, written straight down, without a build */
/**
 * Stand-in of the platform's store, in memory: items, watches, transactions and leases over HTTP/1.1.
 * Each machine gets a port of its own, so that the store can serve some machines and not others.
 */
import { createServer } from 'node:http';

const PAGE_ITEMS = 500;
const READ_ONLY_PREFIXES = ['op/', 'servers/'];

const sendJson = (response, status, body) => {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

const readText = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

export class Store {
  #items = new Map();

  #events = [];

  #leases = new Map();

  #waiting = new Set();

  #revision = 1;

  #lastLease = 0;

  #servers = [];

  /** Opens a port for one machine; `view.mode` is `serving`, `silent`, `reset` or `busy`. */
  async open(host) {
    const view = { mode: 'serving', sockets: new Set(), host, port: 0 };
    const server = createServer((request, response) => {
      if (view.mode === 'busy') {
        request.resume();
        sendJson(response, 503, {});
      } else if (view.mode === 'serving') {
        this.#handle(request, response, view).catch(() => response.destroy());
      }
    });
    server.keepAliveTimeout = 60_000;
    server.on('connection', (socket) => {
      if (view.mode === 'reset') {
        socket.resetAndDestroy();
        return;
      }
      view.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => view.sockets.delete(socket));
    });
    await new Promise((resolve) => {
      server.listen(0, host, resolve);
    });
    view.port = server.address().port;
    this.#servers.push(server);
    return view;
  }

  /** Changes how the store treats one machine. A silent store never answers what it held back. */
  setMode(view, mode) {
    const changed = view;
    changed.mode = mode;
    if (mode === 'reset') view.sockets.forEach((socket) => socket.resetAndDestroy());
    // Connections on which answers were lost return nothing more; the machine opens new ones.
    if (mode === 'serving') view.sockets.forEach((socket) => socket.destroy());
    if (mode === 'silent') this.#waiting.forEach((waiter) => waiter.view === view && waiter.drop());
  }

  /** Lets the open connections of one machine go silent for good, without a reset; new ones work. */
  // eslint-disable-next-line class-methods-use-this -- beside the other faults
  silenceConnections(view) {
    view.sockets.forEach((socket) => {
      socket.pause();
      Object.assign(socket, {
        resume: () => socket,
        write: () => false,
        writev: () => false,
        end: () => socket,
      });
    });
  }

  /** Writes a value as the operator or a runner does; returns the revision. */
  put(key, value) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    return this.#write([{ key, value: Buffer.from(text).toString('base64'), lease: 0 }], []);
  }

  remove(key) {
    return this.#write([], [key]);
  }

  read(key) {
    const item = this.#items.get(key);
    return item && Buffer.from(item.value, 'base64').toString('utf8');
  }

  close() {
    this.#leases.forEach(({ timer }) => clearTimeout(timer));
    this.#servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }

  #write(puts, deletes) {
    this.#revision += 1;
    const revision = this.#revision;
    puts.forEach((put) => {
      const created = this.#items.get(put.key)?.created ?? revision;
      const item = { ...put, lease: put.lease ?? 0, revision, created };
      this.#items.set(put.key, item);
      this.#events.push(item);
    });
    deletes.forEach((key) => {
      if (this.#items.delete(key)) this.#events.push({ key, revision, deleted: true });
    });
    [...this.#waiting].forEach((waiter) => waiter.check());
    return revision;
  }

  #eventsAfter(prefix, after) {
    return this.#events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
  }

  #endLease(id) {
    const lease = this.#leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    const keys = [...this.#items.values()].filter((item) => item.lease === id);
    if (keys.length > 0) {
      this.#write(
        [],
        keys.map(({ key }) => key),
      );
    }
    return true;
  }

  #startLease(id, ttlMs) {
    clearTimeout(this.#leases.get(id)?.timer);
    const timer = setTimeout(() => this.#endLease(id), ttlMs);
    this.#leases.set(id, { ttlMs, timer });
  }

  async #handle(request, response, view) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const [, , call, argument] = url.pathname.split('/');
    const body = request.method === 'POST' ? await readText(request) : '';
    if (request.method !== 'POST') request.resume();
    const answer = (status, value) => {
      if (view.mode === 'serving') sendJson(response, status, value);
    };
    switch (call) {
      case 'kv-key': {
        const item = this.#items.get(query.get('key'));
        if (item) answer(200, { ...item, at: this.#revision });
        else answer(404, {});
        return;
      }
      case 'kv-range': {
        const prefix = query.get('pathPrefix');
        const after = query.get('after') ?? '';
        const items = [...this.#items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((one, other) => (one.key < other.key ? -1 : 1));
        const hasMore = items.length > PAGE_ITEMS;
        answer(200, { items: items.slice(0, PAGE_ITEMS), hasMore, at: this.#revision });
        return;
      }
      case 'kv-watch':
        this.#watch(query, response, view, answer);
        return;
      case 'kv-txn':
        this.#transact(JSON.parse(body), answer);
        return;
      case 'kv-lease': {
        const { ttlMs } = JSON.parse(body);
        this.#lastLease += 1;
        this.#startLease(this.#lastLease, ttlMs);
        answer(200, { lease: this.#lastLease, ttlMs });
        return;
      }
      case 'kv-keep': {
        const lease = this.#leases.get(Number(argument));
        if (!lease) {
          answer(404, {});
          return;
        }
        this.#startLease(Number(argument), lease.ttlMs);
        answer(200, { ttlMs: lease.ttlMs });
        return;
      }
      case 'kv-lease-end':
        answer(this.#endLease(Number(argument)) ? 200 : 404, {});
        return;
      default:
        answer(404, {});
    }
  }

  #watch(query, response, view, answer) {
    const prefix = query.get('pathPrefix');
    const after = Number(query.get('after'));
    const finish = () => {
      // eslint-disable-next-line no-use-before-define -- the waiter refers to itself
      waiter.drop();
      answer(200, { events: this.#eventsAfter(prefix, after), at: this.#revision });
    };
    const timer = setTimeout(finish, Number(query.get('waitMs')));
    const waiter = {
      view,
      check: () => {
        if (this.#eventsAfter(prefix, after).length > 0) finish();
      },
      drop: () => {
        clearTimeout(timer);
        this.#waiting.delete(waiter);
      },
    };
    this.#waiting.add(waiter);
    response.once('close', waiter.drop);
    waiter.check();
  }

  #transact({ expectedRevision = [], puts = [], deletes = [] }, answer) {
    const keys = [...puts.map(({ key }) => key), ...deletes];
    if (keys.some((key) => READ_ONLY_PREFIXES.some((prefix) => key.startsWith(prefix)))) {
      answer(403, {});
      return;
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
      answer(404, {});
      return;
    }
    const current = expectedRevision.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 });
    if (expectedRevision.some(({ revision }, index) => current[index].revision !== revision)) {
      answer(412, { items: current });
      return;
    }
    answer(200, { revision: this.#write(puts, deletes) });
  }
}
