/* eslint n/no-sync: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { createServer } from 'node:http';

/** Time for which changes are kept, as in the settings of the machines. */
const HISTORY_MILLISECONDS = 20_000;

const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

const readJson = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
};

/** Stand-in of the platform's store: items, watches, transactions and leases in memory. */
export class Store {
  #items = new Map();

  #events = [];

  #revision = 10;

  /** Revision of the last change that the history no longer has. */
  #lostRevision = 0;

  #leases = new Map();

  #nextLease = 1;

  #waiters = new Set();

  #servers = [];

  /** Opens a port for one reader; `view` replaces the address of each announced machine. */
  async open(view = (address) => address) {
    const server = createServer((request, response) => {
      this.#serve(request, response, view).catch((error) => {
        response.destroy(error);
      });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    this.#servers.push(server);
    return server.address().port;
  }

  close() {
    this.#servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
    this.#leases.forEach(({ timer }) => clearTimeout(timer));
  }

  /** Writes as the operator or a runner does. */
  put(key, value) {
    this.#write([{ key, value: encode(value), lease: 0 }], []);
  }

  remove(key) {
    this.#write([], [key]);
  }

  /** Values of the items under a prefix, by key. */
  values(prefix) {
    return new Map(
      [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .map(({ key, value }) => [key, JSON.parse(Buffer.from(value, 'base64').toString())]),
    );
  }

  #write(puts, deletes) {
    this.#revision += 1;
    const revision = this.#revision;
    puts.forEach(({ key, value, lease = 0 }) => {
      const created = this.#items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      this.#items.set(key, item);
      this.#events.push({ event: item, at: Date.now() });
    });
    deletes.forEach((key) => {
      if (!this.#items.delete(key)) return;
      this.#events.push({ event: { key, revision, deleted: true }, at: Date.now() });
    });
    [...this.#waiters].forEach((wake) => wake());
    return revision;
  }

  #dropHistory() {
    while (this.#events.length > 0 && Date.now() - this.#events[0].at > HISTORY_MILLISECONDS) {
      this.#lostRevision = this.#events.shift().event.revision;
    }
  }

  #expireLater(lease, ttlMs) {
    clearTimeout(this.#leases.get(lease)?.timer);
    const timer = setTimeout(() => this.#endLease(lease), ttlMs);
    this.#leases.set(lease, { ttlMs, timer });
  }

  #endLease(lease) {
    clearTimeout(this.#leases.get(lease)?.timer);
    this.#leases.delete(lease);
    const keys = [...this.#items.values()].filter((item) => item.lease === lease);
    if (keys.length > 0) {
      this.#write(
        [],
        keys.map(({ key }) => key),
      );
    }
  }

  #toView(events, view) {
    return events.map((event) => {
      const isAddressed = ['servers/', 'limpetnotch/instances/'].some((prefix) =>
        event.key.startsWith(prefix),
      );
      if (!isAddressed || event.value === undefined) return event;
      const entry = JSON.parse(Buffer.from(event.value, 'base64').toString());
      return { ...event, value: encode({ ...entry, address: view(entry.address) }) };
    });
  }

  async #serve(request, response, view) {
    const url = new URL(request.url, 'http://store');
    const send = (status, body) => {
      const text = JSON.stringify(body);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    const [, , call, id] = url.pathname.split('/');
    const prefix = url.searchParams.get('pathPrefix') ?? '';
    switch (`${request.method} ${call}`) {
      case 'GET kv-key': {
        const item = this.#items.get(url.searchParams.get('key'));
        if (item) send(200, { ...this.#toView([item], view)[0], at: this.#revision });
        else send(404, {});
        return;
      }
      case 'GET kv-range': {
        const after = url.searchParams.get('after') ?? '';
        const items = [...this.#items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((one, other) => (one.key < other.key ? -1 : 1));
        const page = items.slice(0, 500);
        send(200, {
          items: this.#toView(page, view),
          hasMore: items.length > page.length,
          at: this.#revision,
        });
        return;
      }
      case 'GET kv-watch': {
        const after = Number(url.searchParams.get('after'));
        this.#dropHistory();
        if (after < this.#lostRevision) {
          send(410, {});
          return;
        }
        const find = () =>
          this.#events
            .map(({ event }) => event)
            .filter(({ key, revision }) => revision > after && key.startsWith(prefix));
        const deadline = Date.now() + Number(url.searchParams.get('waitMs'));
        while (find().length === 0 && Date.now() < deadline && !response.destroyed) {
          await new Promise((resolve) => {
            let timer;
            const wake = () => {
              clearTimeout(timer);
              this.#waiters.delete(wake);
              resolve();
            };
            timer = setTimeout(wake, Math.max(1, deadline - Date.now()));
            this.#waiters.add(wake);
          });
        }
        send(200, { events: this.#toView(find(), view), at: this.#revision });
        return;
      }
      case 'POST kv-txn': {
        const { expectedRevision = [], puts = [], deletes = [] } = await readJson(request);
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
          send(404, {});
          return;
        }
        const current = expectedRevision.map(
          ({ key }) => this.#items.get(key) ?? { key, revision: 0 },
        );
        const isAsExpected = expectedRevision.every(
          ({ revision }, index) => current[index].revision === revision,
        );
        if (isAsExpected) send(200, { revision: this.#write(puts, deletes) });
        else send(412, { items: current });
        return;
      }
      case 'POST kv-lease': {
        const { ttlMs } = await readJson(request);
        const lease = this.#nextLease;
        this.#nextLease += 1;
        this.#expireLater(lease, ttlMs);
        send(200, { lease, ttlMs });
        return;
      }
      case 'POST kv-keep': {
        const known = this.#leases.get(Number(id));
        if (known) {
          this.#expireLater(Number(id), known.ttlMs);
          send(200, { lease: Number(id), ttlMs: known.ttlMs });
        } else send(404, {});
        return;
      }
      case 'DELETE kv-lease-end': {
        this.#endLease(Number(id));
        send(200, {});
        return;
      }
      default:
        send(404, {});
    }
  }
}
