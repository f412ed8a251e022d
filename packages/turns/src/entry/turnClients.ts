import { Agent } from 'node:http';
import type { Client } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import { createUnaryTransport, TurnService } from '@limpetnotch/peer-protocol';

/** Maximum connections to one storage instance; further calls wait for a free one. */
const CONNECTIONS_PER_INSTANCE = 4;

interface TurnClient {
  readonly address: string;
  readonly agent: Agent;
  readonly client: Client<typeof TurnService>;
}

const createTurnClient = (address: string): TurnClient => {
  const agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_INSTANCE });
  const { hostname: host, port } = new URL(`http://${address}`);
  const transport = createUnaryTransport({ host, port: Number(port), agent });
  return { address, agent, client: createClient(TurnService, transport) };
};

/** Clients of storage instances, by name. */
export class TurnClients {
  readonly #clients = new Map<string, TurnClient>();

  /** Returns the client of an instance at its current address. */
  get({
    name,
    address,
  }: {
    readonly name: string;
    readonly address: string;
  }): Client<typeof TurnService> {
    const existing = this.#clients.get(name);
    if (existing?.address === address) return existing.client;
    existing?.agent.destroy();
    const created = createTurnClient(address);
    this.#clients.set(name, created);
    return created.client;
  }

  /** Closes all connections. */
  close(): void {
    this.#clients.forEach(({ agent }) => agent.destroy());
    this.#clients.clear();
  }
}
