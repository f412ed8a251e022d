import { Agent } from 'node:http';
import type { Client } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { Logger, Metrics } from '@limpetnotch/observability';
import {
  FleetService,
  LendBudgetResponse_Outcome as LendOutcome,
} from '@limpetnotch/peer-protocol';
import type { LendBudgetResponse } from '@limpetnotch/peer-protocol';
import type { PeerDemand, QuotaPeers } from '../quotas/quotaPeers';
import type { Loan, LoanRequest } from '../budgets/loan';

/** A request waits for tokens of peers; an answer within an availability zone takes 2 ms. */
const TOKENS_DEADLINE_MILLISECONDS = 60;

/** A release writes to the store before it answers. */
const RELEASE_DEADLINE_MILLISECONDS = 400;

/** Peers asked for tokens in one round, so that the cost doesn't grow with the fleet. */
const PEERS_ASKED = 4;

/** A peer that lends may have to ask the store first. */
const LOAN_DEADLINE_MILLISECONDS = 250;

/** Connections kept to one peer; questions beyond them wait for a free one. */
const CONNECTIONS_PER_PEER = 4;

interface Peer {
  readonly address: string;
  readonly client: Client<typeof FleetService>;
  readonly agent: Agent;
}

const connect = (address: string): Peer => {
  const agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_PEER });
  const transport = createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '1.1',
    acceptCompression: [],
    nodeOptions: { agent },
  });
  return { address, client: createClient(FleetService, transport), agent };
};

const isDecided = (answer: LendBudgetResponse | undefined): boolean =>
  answer?.outcome === LendOutcome.LENT || answer?.outcome === LendOutcome.SPENT;

/** Connections to the other instances. */
export class FleetPeers implements QuotaPeers {
  readonly #logger: Logger;

  readonly #metrics: Metrics;

  readonly #peers = new Map<string, Peer>();

  /** Names in the order in which they are asked; one that gave something moves to the front. */
  #order: string[] = [];

  constructor(logger: Logger, metrics: Metrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /** Sets the other instances by name, with the host and port of each. */
  setPeers(addresses: ReadonlyMap<string, string>): void {
    this.#peers.forEach((peer, name) => {
      if (addresses.get(name) === peer.address) return;
      peer.agent.destroy();
      this.#peers.delete(name);
      this.#logger.info('peers.left', { peer: name });
    });
    addresses.forEach((address, name) => {
      if (this.#peers.has(name)) return;
      this.#peers.set(name, connect(address));
      this.#logger.info('peers.joined', { peer: name, address });
    });
    this.#order = [...this.#peers.keys()];
  }

  get size(): number {
    return this.#peers.size;
  }

  /** Asks peers one after another for tokens of an organisation's rate; returns how many came. */
  async takeTokens(organisation: string, wanted: number): Promise<number> {
    let received = 0;
    for (const name of this.#order.slice(0, PEERS_ASKED)) {
      const missing = wanted - received;
      if (missing <= 0) break;
      const given = await this.#call(name, TOKENS_DEADLINE_MILLISECONDS, (client, options) =>
        client.takeTokens({ organisation, wanted: missing }, options),
      );
      received += Math.min(missing, given?.given ?? 0);
      this.#reorder(name, (given?.given ?? 0) > 0);
    }
    return received;
  }

  /** Asks all peers at once what they know of an organisation's programs. */
  async describeDemand(organisation: string, program: string): Promise<readonly PeerDemand[]> {
    const answers = await Promise.all(
      [...this.#peers.keys()].map((name) =>
        this.#call(name, TOKENS_DEADLINE_MILLISECONDS, (client, options) =>
          client.describeDemand({ organisation, program }, options),
        ),
      ),
    );
    return answers.filter((answer) => answer !== undefined);
  }

  /** Has all peers give back what they hold of a budget; resolves when all answered or are late. */
  async releaseBudget(budget: string): Promise<number> {
    const released = await Promise.all(
      [...this.#peers.keys()].map((name) =>
        this.#call(name, RELEASE_DEADLINE_MILLISECONDS, (client, options) =>
          client.releaseBudget({ budget }, options),
        ),
      ),
    );
    return released.reduce((sum, answer) => sum + (answer?.released ?? 0), 0);
  }

  /**
   * Asks peers one after another to lend tokens of a budget. Where none can, tells whether all of
   * the given members answered that they never saw the program and would remember it.
   */
  async borrowBudget(request: LoanRequest, members: readonly string[]): Promise<Loan> {
    const unaware = new Set<string>();
    const asked = request.mayUseStore ? [...this.#order] : this.#order.slice(0, PEERS_ASKED);
    for (const name of asked) {
      const answer = await this.#call(name, LOAN_DEADLINE_MILLISECONDS, (client, options) =>
        client.lendBudget(request, options),
      );
      this.#reorder(name, isDecided(answer));
      if (answer?.outcome === LendOutcome.LENT) return { kind: 'lent', tokens: answer.tokens };
      if (answer?.outcome === LendOutcome.SPENT) return { kind: 'spent' };
      if (answer && !answer.isKnown && answer.isMemoryWhole) unaware.add(name);
    }
    return { kind: 'none', isUnknownToAll: members.every((name) => unaware.has(name)) };
  }

  close(): void {
    this.setPeers(new Map());
  }

  #reorder(name: string, isGiving: boolean): void {
    const others = this.#order.filter((other) => other !== name);
    this.#order = isGiving ? [name, ...others] : [...others, name];
  }

  async #call<Answer>(
    name: string,
    deadlineMilliseconds: number,
    send: (client: Peer['client'], options: { timeoutMs: number }) => Promise<Answer>,
  ): Promise<Answer | undefined> {
    const peer = this.#peers.get(name);
    if (!peer) return undefined;
    try {
      return await send(peer.client, { timeoutMs: deadlineMilliseconds });
    } catch (error) {
      // What a peer can't say now is asked again later; tokens of a lost answer are dropped.
      this.#metrics.increment('peers.failed-calls', 1, { peer: name });
      const detail = error instanceof Error ? error.message : String(error);
      this.#logger.debug('peers.call-failed', { peer: name, detail });
      return undefined;
    }
  }
}
