import { Agent } from 'node:http';
import type { Client } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import { createUnaryTransport, TurnService } from '@limpetnotch/peer-protocol';

/** Client of the service of turns of another instance. */
export type TurnClient = Client<typeof TurnService>;

const CONNECTIONS_PER_INSTANCE = 4;

/** Connects to the services of turns of other instances, over connections that are kept. */
export class TurnClients {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_INSTANCE });

  readonly #clients = new Map<string, TurnClient>();

  /** Returns the client for an address with a port; creates it on first use. */
  to(address: string): TurnClient {
    const existing = this.#clients.get(address);
    if (existing) return existing;
    const separator = address.lastIndexOf(':');
    const transport = createUnaryTransport({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      agent: this.#agent,
    });
    const client = createClient(TurnService, transport);
    this.#clients.set(address, client);
    return client;
  }

  /** Closes the connections; running calls fail. */
  close(): void {
    this.#agent.destroy();
    this.#clients.clear();
  }
}
