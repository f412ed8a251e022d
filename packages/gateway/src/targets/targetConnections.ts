import { Exchange } from './exchange';
import type { FleetTarget } from './fleetTarget';
import { TargetConnection } from './targetConnection';
import { TargetPool } from './targetPool';
import type { TargetRequest } from './targetRequest';

/** Connections to targets, with one pool for each target at its last announced address. */
export class TargetConnections {
  readonly #pools = new Map<string, TargetPool>();

  /** Connections that close once the last exchange on them has ended. */
  readonly #closing = new Set<TargetConnection | TargetPool>();

  /** Sends a request over a pooled connection; a pool opens at most `connectionLimit` connections. */
  send(target: FleetTarget, connectionLimit: number, request: TargetRequest): Exchange {
    return this.#getPool(target, connectionLimit).send(request);
  }

  /** Sends a request over a new connection, since pooled connections may have been lost. */
  sendOnNewConnection(target: FleetTarget, request: TargetRequest): Exchange {
    const exchange = new Exchange();
    const connection = new TargetConnection(target.address);
    connection.send(request, exchange);
    this.#closeAfterUse(connection);
    return exchange;
  }

  /** Closes the connections of unregistered targets once the last exchange on them has ended. */
  retain(isRegistered: (targetId: string) => boolean): void {
    [...this.#pools].forEach(([id, pool]) => {
      if (isRegistered(id)) return;
      this.#pools.delete(id);
      this.#closeAfterUse(pool);
    });
  }

  /** Closes all connections; requests in flight fail. */
  async close(): Promise<void> {
    const open = [...this.#pools.values(), ...this.#closing];
    this.#pools.clear();
    await Promise.allSettled(open.map((connections) => connections.destroy()));
  }

  #getPool(target: FleetTarget, connectionLimit: number): TargetPool {
    const existing = this.#pools.get(target.id);
    if (existing?.address === target.address) return existing;
    if (existing) this.#closeAfterUse(existing);
    const pool = new TargetPool(target.address, connectionLimit);
    this.#pools.set(target.id, pool);
    return pool;
  }

  #closeAfterUse(connections: TargetConnection | TargetPool): void {
    this.#closing.add(connections);
    void connections.close().finally(() => this.#closing.delete(connections));
  }
}
