import { Client, Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { Exchange } from './exchange';
import type { FleetTarget } from './fleetTarget';

/** A target in the same region answers in milliseconds; a longer wait means that it is cut off. */
const CONNECT_TIMEOUT_MILLISECONDS = 400;

/** Shorter than the idle time of usual servers, so that a request rarely meets a closing connection. */
const IDLE_MILLISECONDS = 4_000;

/** One request as it goes to a target. */
export interface TargetRequest {
  readonly method: string;
  readonly pathAndQuery: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer;
}

const CLIENT_OPTIONS: Client.Options = {
  pipelining: 1,
  connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
  keepAliveTimeout: IDLE_MILLISECONDS,
  headersTimeout: 0,
  bodyTimeout: 0,
};

const dispatchOptionsOf = (request: TargetRequest): Dispatcher.DispatchOptions => ({
  method: request.method,
  path: request.pathAndQuery,
  headers: request.headers,
  body: request.body.length > 0 ? request.body : null,
});

/** Connections that are kept open to a target at one address. */
interface TargetPool {
  readonly address: string;
  readonly pool: Pool;
}

/** Connections to targets, a pool for each target at the address it announced last. */
export class TargetConnections {
  readonly #pools = new Map<string, TargetPool>();

  /** Connections that close when the last exchange on them has ended. */
  readonly #closing = new Set<Client | Pool>();

  /** Sends a request at once; the connections of a target are bounded by the limit given. */
  send(target: FleetTarget, connectionLimit: number, request: TargetRequest): Exchange {
    const exchange = new Exchange();
    this.#poolOf(target, connectionLimit).dispatch(dispatchOptionsOf(request), exchange);
    return exchange;
  }

  /** Sends a request over a connection of its own, as those that are open may be lost. */
  sendAlone(target: FleetTarget, request: TargetRequest): Exchange {
    const exchange = new Exchange();
    const client = new Client(`http://${target.address}`, CLIENT_OPTIONS);
    client.dispatch(dispatchOptionsOf(request), exchange);
    this.#closeAfterUse(client);
    return exchange;
  }

  /** Closes the connections of targets that are gone, when the last exchange on them has ended. */
  retain(isKnown: (targetId: string) => boolean): void {
    [...this.#pools].forEach(([id, { pool }]) => {
      if (isKnown(id)) return;
      this.#pools.delete(id);
      this.#closeAfterUse(pool);
    });
  }

  /** Closes all connections; what is under way fails. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()].map(({ pool }) => pool);
    const clients = [...pools, ...this.#closing];
    this.#pools.clear();
    await Promise.allSettled(clients.map((client) => client.destroy()));
  }

  #poolOf(target: FleetTarget, connectionLimit: number): Pool {
    const known = this.#pools.get(target.id);
    if (known?.address === target.address) return known.pool;
    if (known) this.#closeAfterUse(known.pool);
    const pool = new Pool(`http://${target.address}`, {
      ...CLIENT_OPTIONS,
      connections: connectionLimit,
    });
    this.#pools.set(target.id, { address: target.address, pool });
    return pool;
  }

  #closeAfterUse(connections: Client | Pool): void {
    this.#closing.add(connections);
    void connections.close().finally(() => this.#closing.delete(connections));
  }
}
