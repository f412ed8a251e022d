import { PeerClient } from './peerClient';

/** Caches one client for each peer address. */
export class PeerClients {
  readonly #clients = new Map<string, PeerClient>();

  /** Returns the client of an address; creates it on first use. */
  to(address: string): PeerClient {
    const known = this.#clients.get(address);
    if (known) return known;
    const client = new PeerClient(address);
    this.#clients.set(address, client);
    return client;
  }

  /** Closes the clients of all addresses except the given ones. */
  retain(addresses: ReadonlySet<string>): void {
    const gone = [...this.#clients.keys()].filter((address) => !addresses.has(address));
    gone.forEach((address) => this.#close(address));
  }

  close(): void {
    this.retain(new Set());
  }

  #close(address: string): void {
    this.#clients.get(address)?.close();
    this.#clients.delete(address);
  }
}
