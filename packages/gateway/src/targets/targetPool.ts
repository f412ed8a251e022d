import { Pool } from 'undici';
import { Exchange } from './exchange';
import type { TargetRequest } from './targetRequest';
import { CLIENT_OPTIONS, dispatchOptionsOf } from './targetRequest';

/** A request that waits for a connection. */
interface WaitingRequest {
  readonly request: TargetRequest;
  readonly exchange: Exchange;
}

/** Connections that are kept open to a target at one address, and the requests that wait for one. */
export class TargetPool {
  readonly address: string;

  readonly #pool: Pool;

  readonly #connectionLimit: number;

  readonly #waiting: WaitingRequest[] = [];

  #busyConnections = 0;

  constructor(address: string, connectionLimit: number) {
    this.address = address;
    this.#connectionLimit = connectionLimit;
    const options = { ...CLIENT_OPTIONS, connections: connectionLimit };
    this.#pool = new Pool(`http://${address}`, options);
  }

  /** Sends a request as soon as a connection is free. */
  send(request: TargetRequest): Exchange {
    const exchange: Exchange = new Exchange(() => {
      this.#busyConnections -= 1;
      this.#sendWaiting();
    });
    this.#waiting.push({ request, exchange });
    this.#sendWaiting();
    return exchange;
  }

  /** Closes the connections when all requests have their answers. */
  async close(): Promise<void> {
    this.#handOver();
    await this.#pool.close();
  }

  /** Closes the connections; what is under way fails. */
  async destroy(): Promise<void> {
    this.#handOver();
    await this.#pool.destroy();
  }

  /** Leaves the requests that wait to the pool, which takes none once it closes. */
  #handOver(): void {
    this.#waiting.splice(0).forEach((waiting) => this.#dispatch(waiting));
  }

  #sendWaiting(): void {
    while (this.#busyConnections < this.#connectionLimit) {
      const next = this.#waiting.shift();
      if (!next) return;
      this.#dispatch(next);
    }
  }

  #dispatch({ request, exchange }: WaitingRequest): void {
    if (exchange.isOver) return;
    this.#busyConnections += 1;
    this.#pool.dispatch(dispatchOptionsOf(request), exchange);
  }
}
