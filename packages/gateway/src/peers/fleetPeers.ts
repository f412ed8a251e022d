import { Agent } from 'node:http';
import type { Client } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { Logger, Metrics } from '@limpetnotch/observability';
import {
  FleetService,
  LendBudgetResponse_Outcome as LendOutcome,
  quarantineMessage,
} from '@limpetnotch/peer-protocol';
import type { LendBudgetResponse, ShareQuarantineResponse } from '@limpetnotch/peer-protocol';
import type { QuarantineEntry } from '@limpetnotch/scheduling';
import { chooseKeepers } from '../quarantine/chooseKeepers';
import type { QuarantinePeers } from '../quarantine/quarantinePeers';
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

/** Programs that begin within this time are announced together. */
const ANNOUNCEMENT_DELAY_MILLISECONDS = 10;

/** A peer that took what it was told answers at once. */
const QUARANTINE_DEADLINE_MILLISECONDS = 250;

/** Peers told of the quarantine at one time, as each may need a connection of its own. */
const QUARANTINE_CALLS_AT_ONCE = 16;

/** Peers told of each program, enough to outlast the loss of some. */
const PEERS_TOLD = 6;

/** Failures in a row after which a peer is taken for lost. */
const FAILURES_TO_SILENCE = 2;

/** Time for which a peer that is taken for lost isn't asked, so that requests don't wait for it. */
const SILENCE_MILLISECONDS = 1_000;

interface Peer {
  readonly address: string;
  readonly client: Client<typeof FleetService>;
  readonly agent: Agent;
  /** Questions in a row that got no answer in time. */
  failures: number;
  /** Until then it is not asked, as it is likely dead or cut off. */
  silentUntilMilliseconds: number;
}

/** What a peer answered. */
interface Reply<Answer> {
  readonly name: string;
  readonly answer: Answer;
}

type Send<Answer> = (client: Peer['client'], options: { timeoutMs: number }) => Promise<Answer>;

const connect = (address: string): Peer => {
  const agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_PEER });
  const transport = createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '1.1',
    acceptCompression: [],
    nodeOptions: { agent },
  });
  const client = createClient(FleetService, transport);
  return { address, client, agent, failures: 0, silentUntilMilliseconds: 0 };
};

/** Connections to the other instances. */
export class FleetPeers implements QuotaPeers, QuarantinePeers {
  readonly #logger: Logger;

  readonly #metrics: Metrics;

  readonly #peers = new Map<string, Peer>();

  /** Budgets of programs that have begun here, and of which the peers weren't told yet. */
  #announcements: string[] = [];

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
    const replies = await this.#callEach(
      [...this.#peers.keys()],
      TOKENS_DEADLINE_MILLISECONDS,
      (client, options) => client.describeDemand({ organisation, program }, options),
    );
    return replies.map(({ answer }) => answer);
  }

  /** Has all peers give back what they hold of a budget; resolves when all answered or are late. */
  async releaseBudget(budget: string): Promise<void> {
    await this.#callEach(
      [...this.#peers.keys()],
      RELEASE_DEADLINE_MILLISECONDS,
      (client, options) => client.releaseBudget({ budget }, options),
    );
  }

  /**
   * Asks peers to lend tokens of a budget: all that may hold some at once, then, where none does
   * and the request allows it, those in touch with the store one after another.
   */
  async borrowBudget(request: LoanRequest): Promise<Loan> {
    const asked = request.mayUseStore ? [...this.#order] : this.#order.slice(0, PEERS_ASKED);
    const answers = await this.#askToLend(asked, { ...request, mayUseStore: false });
    const lent = answers.reduce((sum, { answer }) => sum + answer.tokens, 0);
    if (lent > 0) return { kind: 'lent', tokens: lent };
    const inTouch = answers.filter(({ answer }) => answer.canUseStore);
    for (const { name } of request.mayUseStore ? inTouch : []) {
      const [reply] = await this.#askToLend([name], request);
      if (reply?.answer.outcome === LendOutcome.SPENT) return { kind: 'spent' };
      if (reply && reply.answer.tokens > 0) return { kind: 'lent', tokens: reply.answer.tokens };
    }
    const mayHaveBegun = answers.some(({ answer }) => answer.isKnown || !answer.isMemoryWhole);
    return { kind: 'none', mayHaveBegun, answers: answers.length };
  }

  /** Tells peers that a program has begun here, together with others that begin at the same time. */
  announceProgram(budget: string): void {
    this.#announcements.push(budget);
    if (this.#announcements.length > 1) return;
    setTimeout(() => this.#sendAnnouncements(), ANNOUNCEMENT_DELAY_MILLISECONDS).unref();
  }

  async tellKeepers(entries: readonly QuarantineEntry[]): Promise<ReadonlySet<string>> {
    const names = [...this.#peers.keys()];
    const byPeer = new Map<string, QuarantineEntry[]>();
    entries.forEach((entry) =>
      chooseKeepers(entry.requestDigest, names).forEach((name) =>
        byPeer.set(name, [...(byPeer.get(name) ?? []), entry]),
      ),
    );
    const taken = await Promise.all(
      [...byPeer].map(async ([name, told]) =>
        (await this.#tellQuarantine([name], told)).length > 0 ? told : [],
      ),
    );
    return new Set(taken.flat().map(({ requestDigest }) => requestDigest));
  }

  async tellAll(entries: readonly QuarantineEntry[]): Promise<void> {
    const names = [...this.#peers.keys()];
    while (names.length > 0) {
      await this.#tellQuarantine(names.splice(0, QUARANTINE_CALLS_AT_ONCE), entries);
    }
  }

  close(): void {
    this.setPeers(new Map());
  }

  #tellQuarantine(
    names: readonly string[],
    entries: readonly QuarantineEntry[],
  ): Promise<readonly Reply<ShareQuarantineResponse>[]> {
    const message = { entries: entries.map(quarantineMessage) };
    return this.#callEach(names, QUARANTINE_DEADLINE_MILLISECONDS, (client, options) =>
      client.shareQuarantine(message, options),
    );
  }

  #sendAnnouncements(): void {
    const budgets = this.#announcements;
    this.#announcements = [];
    const told = [...this.#peers.keys()].slice(0, PEERS_TOLD);
    void this.#callEach(told, RELEASE_DEADLINE_MILLISECONDS, (client, options) =>
      client.announcePrograms({ budgets }, options),
    );
  }

  #askToLend(
    names: readonly string[],
    request: LoanRequest,
  ): Promise<readonly Reply<LendBudgetResponse>[]> {
    return this.#callEach(names, LOAN_DEADLINE_MILLISECONDS, (client, options) =>
      client.lendBudget(request, options),
    );
  }

  #reorder(name: string, isGiving: boolean): void {
    const others = this.#order.filter((other) => other !== name);
    this.#order = isGiving ? [name, ...others] : [...others, name];
  }

  /** Sends the same question to peers at once; those that don't answer in time are left out. */
  async #callEach<Answer>(
    names: readonly string[],
    deadlineMilliseconds: number,
    send: Send<Answer>,
  ): Promise<readonly Reply<Answer>[]> {
    const replies = await Promise.all(
      names.map(async (name) => ({
        name,
        answer: await this.#call(name, deadlineMilliseconds, send),
      })),
    );
    return replies.flatMap(({ name, answer }) => (answer ? [{ name, answer }] : []));
  }

  async #call<Answer>(
    name: string,
    deadlineMilliseconds: number,
    send: Send<Answer>,
  ): Promise<Answer | undefined> {
    const peer = this.#peers.get(name);
    if (!peer || performance.now() < peer.silentUntilMilliseconds) return undefined;
    try {
      const answer = await send(peer.client, { timeoutMs: deadlineMilliseconds });
      peer.failures = 0;
      return answer;
    } catch (error) {
      peer.failures += 1;
      if (peer.failures >= FAILURES_TO_SILENCE) {
        peer.silentUntilMilliseconds = performance.now() + SILENCE_MILLISECONDS;
      }
      // What a peer can't say now is asked again later; tokens of a lost answer are dropped.
      this.#metrics.increment('peers.failed-calls', 1, { peer: name });
      const detail = error instanceof Error ? error.message : String(error);
      this.#logger.debug('peers.call-failed', { peer: name, detail });
      return undefined;
    }
  }
}
