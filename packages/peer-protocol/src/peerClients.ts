import { PeerClient } from './peerClient';

/** Caches one client per peer address. */
export class PeerClients {
  readonly #clients = new Map<string, PeerClient>();

  /** Returns the client for an address; creates it on first use. */
  to(address: string): PeerClient {
    const existing = this.#clients.get(address);
    if (existing) return existing;
    const client = new PeerClient(address);
    this.#clients.set(address, client);
    return client;
  }

  /** Closes and removes the clients of all addresses except the given ones. */
  retain(addresses: ReadonlySet<string>): void {
    const unused = [...this.#clients.keys()].filter((address) => !addresses.has(address));
    unused.forEach((address) => this.#close(address));
  }

  /** Closes and removes all clients. */
  close(): void {
    this.retain(new Set());
  }

  #close(address: string): void {
    this.#clients.get(address)?.close();
    this.#clients.delete(address);
  }
}
