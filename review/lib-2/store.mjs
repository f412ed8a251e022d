// Plain modules without a build: their imports need extensions, and steps run one after another.
/* eslint-disable import-x/prefer-default-export, no-restricted-syntax, no-use-before-define */
/** Stand-in of the platform's store, as PROTOCOL describes it; it injects no faults by itself. */
import { createServer } from 'node:http';

const HISTORY_EVENTS = 100_000;

export class Store {
  #items = new Map();

  /** All keys, in order. */
  #keys = [];

  #events = [];

  #leases = new Map();

  #revision = 1;

  #lastLease = 100;

  #waiting = new Set();

  #server = createServer((request, response) => this.#serve(request, response));

  async start(host) {
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      this.#server.listen(0, host, resolve);
    });
    return this.#server.address().port;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
    this.#leases.forEach(({ timer }) => clearTimeout(timer));
  }

  /** Writes a value as the operator or a runner does; the return is the acknowledgement. */
  put(key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    return this.#write([{ key, value: text, lease: 0 }], []);
  }

  remove(key) {
    return this.#write([], [key]);
  }

  get(key) {
    return this.#items.get(key);
  }

  keys(prefix) {
    return this.#keys.filter((key) => key.startsWith(prefix));
  }

  /** Adds keys that were written long ago, so that the history no longer has them. */
  fill(keys, value) {
    this.#revision += 1;
    const revision = this.#revision;
    keys.forEach((key) =>
      this.#items.set(key, { key, value, revision, created: revision, lease: 0 }),
    );
    this.#keys = [...this.#items.keys()].sort();
  }

  /** Returns the first position whose key is not less than a key. */
  #findPosition(key) {
    let [low, high] = [0, this.#keys.length];
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.#keys[middle] < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #write(puts, deletes) {
    this.#revision += 1;
    const revision = this.#revision;
    puts.forEach(({ key, value, lease = 0 }) => {
      const created = this.#items.get(key)?.created ?? revision;
      if (!this.#items.has(key)) this.#keys.splice(this.#findPosition(key), 0, key);
      const item = { key, value, revision, created, lease };
      this.#items.set(key, item);
      this.#events.push(item);
    });
    deletes.forEach((key) => {
      if (!this.#items.delete(key)) return;
      this.#keys.splice(this.#findPosition(key), 1);
      this.#events.push({ key, revision, deleted: true });
    });
    if (this.#events.length > HISTORY_EVENTS) this.#events.splice(0, HISTORY_EVENTS / 2);
    [...this.#waiting].forEach((check) => check());
    return revision;
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    for await (const chunk of request) chunks.push(chunk);
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : {};
    const answer = (status, value) => {
      if (response.destroyed) return;
      const text = JSON.stringify(value);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    const [, , call, id] = url.pathname.split('/');
    const query = url.searchParams;
    switch (`${request.method} ${call}`) {
      case 'GET kv-key': {
        const item = this.#items.get(query.get('key'));
        answer(item ? 200 : 404, item ? { ...item, at: this.#revision } : {});
        break;
      }
      case 'GET kv-range': {
        const after = query.get('after') ?? '';
        const prefix = query.get('pathPrefix');
        const first = this.#findPosition(after > prefix ? after : prefix);
        const start = this.#keys[first] === after ? first + 1 : first;
        const keys = this.#keys.slice(start, start + 501).filter((key) => key.startsWith(prefix));
        answer(200, {
          items: keys.slice(0, 500).map((key) => this.#items.get(key)),
          hasMore: keys.length > 500,
          at: this.#revision,
        });
        break;
      }
      case 'GET kv-watch':
        this.#watch(query, response, answer);
        break;
      case 'POST kv-txn':
        this.#transact(body, answer);
        break;
      case 'POST kv-lease': {
        this.#lastLease += 1;
        const lease = this.#lastLease;
        this.#leases.set(lease, { ttlMs: body.ttlMs, timer: this.#expire(lease, body.ttlMs) });
        answer(200, { lease, ttlMs: body.ttlMs });
        break;
      }
      case 'POST kv-keep': {
        const lease = this.#leases.get(Number(id));
        if (!lease) {
          answer(404, {});
          break;
        }
        clearTimeout(lease.timer);
        lease.timer = this.#expire(Number(id), lease.ttlMs);
        answer(200, { ttlMs: lease.ttlMs });
        break;
      }
      case 'DELETE kv-lease-end':
        answer(this.#endLease(Number(id)) ? 200 : 404, {});
        break;
      default:
        answer(400, {});
    }
  }

  #watch(query, response, answer) {
    const prefix = query.get('pathPrefix');
    const after = Number(query.get('after'));
    const find = () =>
      this.#events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      answer(200, { events: find(), at: this.#revision });
    };
    const check = () => {
      if (find().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get('waitMs') ?? 0));
    this.#waiting.add(check);
    response.once('close', () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
    });
    check();
  }

  #transact({ expectedRevision = [], puts = [], deletes = [] }, answer) {
    const keys = [...puts.map(({ key }) => key), ...deletes];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) {
      answer(403, {});
      return;
    }
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) {
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

  #expire(lease, ttlMs) {
    return setTimeout(() => this.#endLease(lease), ttlMs);
  }

  #endLease(lease) {
    const known = this.#leases.get(lease);
    if (!known) return false;
    clearTimeout(known.timer);
    this.#leases.delete(lease);
    const keys = [...this.#items.values()]
      .filter((item) => item.lease === lease)
      .map(({ key }) => key);
    if (keys.length > 0) this.#write([], keys);
    return true;
  }
}
