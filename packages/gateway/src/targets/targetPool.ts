import { Deferred } from '@limpetnotch/supervision';
import { hash32 } from '../util/hash32';
import { Exchange } from './exchange';
import { TargetConnection } from './targetConnection';
import type { TargetRequest } from './targetRequest';

/** A request that waits for a connection. */
interface WaitingRequest {
  readonly request: TargetRequest;
  readonly idHash: number;
  readonly exchange: Exchange;
}

/** Pooled connections to a target at one address, and the requests that wait for one. */
export class TargetPool {
  readonly address: string;

  readonly #connectionLimit: number;

  readonly #connections = new Set<TargetConnection>();

  /** Idle connections; the most recently used one, which is most likely still open, is last. */
  readonly #idle: TargetConnection[] = [];

  readonly #waiting: WaitingRequest[] = [];

  readonly #closed = new Deferred<void>();

  #isClosing = false;

  constructor(address: string, connectionLimit: number) {
    this.address = address;
    this.#connectionLimit = connectionLimit;
  }

  /** Sends a request as soon as a connection is available. */
  send(request: TargetRequest): Exchange {
    const exchange = new Exchange();
    this.#waiting.push({ request, idHash: hash32(request.id), exchange });
    this.#sendWaiting();
    return exchange;
  }

  /** Closes the connections once all requests have received their responses. */
  async close(): Promise<void> {
    this.#isClosing = true;
    this.#closeIdle();
    await this.#closed.promise;
  }

  /** Closes the connections; requests in flight or waiting fail. */
  async destroy(): Promise<void> {
    this.#waiting.splice(0).forEach(({ exchange }) => exchange.failUnsent('connections closed'));
    await Promise.all([...this.#connections].map((connection) => connection.destroy()));
    this.#closed.resolve();
  }

  #sendWaiting(): void {
    for (;;) {
      this.#dropEnded();
      const [next] = this.#waiting;
      const connection = next && this.#takeConnection(next.idHash);
      if (!connection) return;
      this.#waiting.shift();
      connection.carriedRequests.add(next.idHash);
      connection.send(next.request, next.exchange, (isReusable) =>
        this.#release(connection, isReusable),
      );
    }
  }

  #dropEnded(): void {
    while (this.#waiting[0]?.exchange.hasEnded) this.#waiting.shift();
  }

  /**
   * Returns a connection that has not carried the request; one that has gives its place to a new one.
   * A second copy of the response to an earlier send of the request may follow on its connection,
   * and could not be told from the response to the next send.
   */
  #takeConnection(idHash: number): TargetConnection | undefined {
    const index = this.#idle.findLastIndex(
      ({ carriedRequests }) => !carriedRequests.mayInclude(idHash),
    );
    if (index >= 0) return this.#idle.splice(index, 1)[0];
    const isAtLimit = this.#connections.size >= this.#connectionLimit;
    if (isAtLimit) this.#closeConnections(this.#idle.splice(0, 1));
    return this.#createConnectionWithinLimit();
  }

  #createConnectionWithinLimit(): TargetConnection | undefined {
    if (this.#connections.size >= this.#connectionLimit) return undefined;
    const connection = new TargetConnection(this.address);
    this.#connections.add(connection);
    return connection;
  }

  #release(connection: TargetConnection, isReusable: boolean): void {
    if (isReusable) {
      this.#idle.push(connection);
    } else {
      this.#connections.delete(connection);
      void connection.destroy();
    }
    this.#sendWaiting();
    if (this.#isClosing) this.#closeIdle();
  }

  #closeIdle(): void {
    this.#closeConnections(this.#idle.splice(0));
    if (this.#connections.size === 0) this.#closed.resolve();
  }

  #closeConnections(connections: readonly TargetConnection[]): void {
    connections.forEach((connection) => {
      this.#connections.delete(connection);
      void connection.close();
    });
  }
}
