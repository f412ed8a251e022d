import { Agent } from 'node:http';
import type { Client } from '@connectrpc/connect';
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { Logger, Metrics } from '@limpetnotch/observability';
import {
  createUnaryTransport,
  FleetService,
  LendBudgetResponse_Outcome as LendOutcome,
  quarantineMessage,
} from '@limpetnotch/peer-protocol';
import type {
  AnnounceLimitsResponse,
  LendBudgetResponse,
  ListPromisesResponse,
  ServerStreamOptions,
  ShareQuarantineResponse,
} from '@limpetnotch/peer-protocol';
import type { QuarantineEntry } from '@limpetnotch/scheduling';
import { Deferred } from '@limpetnotch/supervision';
import { chooseInformedPeers } from '../budgets/chooseInformedPeers';
import { chooseCountingInstances } from '../quarantine/chooseCountingInstances';
import type { ForwardedPart } from '../forwarding/forwardedPart';
import type { ForwardedRequest } from '../forwarding/forwardedRequest';
import type { ForwardingPeers } from '../forwarding/forwardingPeers';
import type { PathPeers } from '../forwarding/pathPeers';
import type { ConnectionCheck } from '../targets/connectionCheck';
import type { FleetTarget } from '../targets/fleetTarget';
import type { KeyedLimitState, LimitPeers, TokenReply, TokenRequest } from '../limits/limitPeers';
import type { QuarantinePeers } from '../quarantine/quarantinePeers';
import type {
  PeerDemand,
  ProgramAdmission,
  ProgramAdmissionRequest,
  QuotaPeers,
  TokensGiven,
  TokensWanted,
} from '../quotas/quotaPeers';
import type { BudgetRelease, GrantPeers, PeerPromises } from '../budgets/grantPeers';
import type { Loan, LoanRequest } from '../budgets/loan';
import type { KeyedOrigin } from '../resumption/keyedOrigin';
import type { OriginPeers } from '../resumption/originPeers';
import type { StreamOrigin } from '../resumption/streamOrigin';
import { NO_TOKENS } from '../quotas/noTokens';
import { groupByInstance } from '../util/groupByInstance';
import type { WorkCounts } from '../work/workCounts';
import {
  fromCheckResult,
  fromPartMessage,
  toForwardedRequestMessage,
  toTargetMessage,
} from './forwardingMessage';
import { fromLimitMessage, toLimitMessage } from './limitMessage';
import { fromOriginMessage, toOriginMessage } from './originMessage';
import {
  addTokens,
  fromAdmissionMessage,
  toAdmissionRequestMessage,
  toTokensGiven,
} from './quotaMessage';

/**
 * Deadline of requests on which a call waits; a peer in the same availability zone responds
 * in 2 ms.
 */
const TOKENS_DEADLINE_MILLISECONDS = 60;

/** Deadline of budget releases; a peer writes to the store before it responds. */
const RELEASE_DEADLINE_MILLISECONDS = 400;

/** Peers queried for tokens in one round, so that the cost doesn't grow with the fleet. */
const PEERS_PER_ROUND = 4;

/** Deadline of loans; a lending peer may have to access the store first. */
const LOAN_DEADLINE_MILLISECONDS = 250;

/** Maximum connections to one peer; further calls wait for a free connection. */
const CONNECTIONS_PER_PEER = 4;

/** Programs that start within this time are announced in one call. */
const ANNOUNCEMENT_DELAY_MILLISECONDS = 10;

/** Deadline of quarantine updates; a peer that accepts one responds immediately. */
const QUARANTINE_DEADLINE_MILLISECONDS = 250;

/** Deadline of announcements and lists of limits; a peer responds immediately. */
const LIMITS_DEADLINE_MILLISECONDS = 250;

/** Deadline of records of origins; a peer responds immediately. */
const ORIGINS_DEADLINE_MILLISECONDS = 250;

/** Deadline of checks of a target; a peer may have to connect to it. */
const CHECK_DEADLINE_MILLISECONDS = 400;

/** Maximum connections to one peer for forwarded exchanges, each of which needs its own. */
const FORWARDING_CONNECTIONS_PER_PEER = 64;

/** Shorter than the time after which a peer closes an idle connection, so that none is reused then. */
const FORWARDING_IDLE_MILLISECONDS = 4_000;

/** Peers that have left whose exchanges go on; the oldest are ended beyond this number. */
const MAXIMUM_LEFT_AGENTS = 64;

/** Concurrent calls to all peers, as each may need a connection of its own. */
const CONCURRENT_BROADCAST_CALLS = 16;

/** Consecutive failures after which calls to a peer are suspended. */
const FAILURES_BEFORE_SUSPENSION = 2;

/**
 * Time for which calls to an unresponsive peer are suspended, so that requests don't wait for it.
 */
const SUSPENSION_MILLISECONDS = 1_000;

interface Peer {
  readonly address: string;
  readonly client: Client<typeof FleetService>;
  readonly agent: Agent;
  /** Client for exchanges that the peer forwards, which keep a connection for long. */
  readonly forwardingClient: Client<typeof FleetService>;
  readonly forwardingAgent: Agent;
  /** Consecutive failed calls. */
  failures: number;
  /** Time until which the peer is not called, as it has probably stopped or is unreachable. */
  suspendedUntilMilliseconds: number;
}

/** A peer's response to a call. */
interface Reply<Answer> {
  readonly name: string;
  readonly answer: Answer;
}

type Send<Answer> = (client: Peer['client'], options: { timeoutMs: number }) => Promise<Answer>;

/** A call to a peer, with the name by which it is counted. */
interface PeerCall<Answer> {
  readonly call: keyof Client<typeof FleetService>;
  readonly deadlineMilliseconds: number;
  readonly send: Send<Answer>;
}

/** Where streams from a peer are opened. */
export type StreamRoute = Pick<
  ServerStreamOptions<typeof FleetService.method.observeStore>,
  'host' | 'port' | 'agent'
>;

/** Parts of {@link FleetPeers}. */
export interface FleetPeersParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly counts: WorkCounts;
}

const createForwardingClient = (address: string, agent: Agent): Client<typeof FleetService> => {
  const transport = createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '1.1',
    acceptCompression: [],
    nodeOptions: { agent },
  });
  return createClient(FleetService, transport);
};

const createUnaryClient = (address: string, agent: Agent): Client<typeof FleetService> => {
  const { hostname: host, port } = new URL(`http://${address}`);
  return createClient(FleetService, createUnaryTransport({ host, port: Number(port), agent }));
};

const createPeer = (address: string): Peer => {
  const agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS_PER_PEER });
  const forwardingAgent = new Agent({
    keepAlive: true,
    maxSockets: FORWARDING_CONNECTIONS_PER_PEER,
    timeout: FORWARDING_IDLE_MILLISECONDS,
  });
  return {
    address,
    client: createUnaryClient(address, agent),
    agent,
    forwardingClient: createForwardingClient(address, forwardingAgent),
    forwardingAgent,
    failures: 0,
    suspendedUntilMilliseconds: 0,
  };
};

/** Clients of the other instances. */
export class FleetPeers
  implements
    GrantPeers,
    QuotaPeers,
    QuarantinePeers,
    LimitPeers,
    OriginPeers,
    PathPeers,
    ForwardingPeers
{
  readonly #parts: FleetPeersParts;

  readonly #peers = new Map<string, Peer>();

  /**
   * Budgets of programs that have started here and that the peers have not been notified of yet.
   */
  #announcements: string[] = [];

  /** Agents of peers that have left, for exchanges that they still forward. */
  readonly #leftAgents: Agent[] = [];

  /** Peer names in query order; a peer that gave tokens moves to the front. */
  #order: string[] = [];

  constructor(parts: FleetPeersParts) {
    this.#parts = parts;
  }

  get names(): readonly string[] {
    return [...this.#peers.keys()];
  }

  /** Sets the other instances by name, with the address (`host:port`) of each. */
  setPeers(addresses: ReadonlyMap<string, string>): void {
    this.#peers.forEach((peer, name) => {
      if (addresses.get(name) === peer.address) return;
      peer.agent.destroy();
      // Exchanges under way go on: a peer that has only lost the store still serves them.
      this.#leftAgents.push(peer.forwardingAgent);
      if (this.#leftAgents.length > MAXIMUM_LEFT_AGENTS) this.#leftAgents.shift()?.destroy();
      this.#peers.delete(name);
      this.#parts.logger.info('peers.left', { peer: name });
    });
    addresses.forEach((address, name) => {
      if (this.#peers.has(name)) return;
      this.#peers.set(name, createPeer(address));
      this.#parts.logger.info('peers.joined', { peer: name, address });
    });
    this.#order = [...this.#peers.keys()];
  }

  /** Returns the way to a peer for streams; undefined if it has left. */
  findStreamRoute(name: string): StreamRoute | undefined {
    const peer = this.#peers.get(name);
    if (!peer) return undefined;
    const { hostname: host, port } = new URL(`http://${peer.address}`);
    return { host, port: Number(port), agent: peer.forwardingAgent };
  }

  /** Requests tokens of an organisation's rate from one peer after another until one gives enough. */
  async takeTokens(
    organisation: string,
    { wanted, ahead }: TokensWanted,
    names: readonly string[] = this.#order.slice(0, PEERS_PER_ROUND),
  ): Promise<TokensGiven> {
    let received = NO_TOKENS;
    for (const name of names) {
      const missing = wanted - received.given;
      if (missing <= 0) break;
      const response = await this.#call(name, {
        call: 'takeTokens',
        deadlineMilliseconds: TOKENS_DEADLINE_MILLISECONDS,
        send: (client, options) =>
          client.takeTokens({ organisation, wanted: missing, ahead }, options),
      });
      this.#reorder(name, (response?.given ?? 0) > 0);
      if (response) received = addTokens(received, toTokensGiven(response, missing));
    }
    return received;
  }

  /** Queries peers in parallel for their view of an organisation's programs. */
  async describeDemand(
    organisation: string,
    program: string,
    names: readonly string[] = [...this.#peers.keys()],
  ): Promise<readonly PeerDemand[]> {
    const replies = await this.#callEach(names, {
      call: 'describeDemand',
      deadlineMilliseconds: TOKENS_DEADLINE_MILLISECONDS,
      send: (client, options) => client.describeDemand({ organisation, program }, options),
    });
    return replies.map(({ answer }) => answer);
  }

  async admitProgram(
    name: string,
    request: ProgramAdmissionRequest,
  ): Promise<ProgramAdmission | undefined> {
    const reply = await this.#call(name, {
      call: 'admitProgram',
      deadlineMilliseconds: TOKENS_DEADLINE_MILLISECONDS,
      send: (client, options) => client.admitProgram(toAdmissionRequestMessage(request), options),
    });
    return reply && fromAdmissionMessage(reply);
  }

  /**
   * Makes peers return what they hold of a budget to the store; resolves when all have responded or
   * timed out.
   */
  async releaseBudget(
    budget: string,
    names: readonly string[] = [...this.#peers.keys()],
  ): Promise<readonly BudgetRelease[]> {
    const replies = await this.#callEach(names, {
      call: 'releaseBudget',
      deadlineMilliseconds: RELEASE_DEADLINE_MILLISECONDS,
      send: (client, options) => client.releaseBudget({ budget }, options),
    });
    return replies.map(({ name, answer: { sharers, hasAllSharers } }) => ({
      name,
      sharers,
      hasAllSharers,
    }));
  }

  /**
   * Borrows tokens of a budget from peers: first from all that may hold some, in parallel; then, if
   * none lends and the request allows it, from those that can reach the store, one after another.
   */
  async borrowBudget(
    request: LoanRequest,
    names: readonly string[] = request.mayUseStore
      ? [...this.#order]
      : this.#order.slice(0, PEERS_PER_ROUND),
  ): Promise<Loan> {
    const replies = await this.#requestLoans(names, { ...request, mayUseStore: false });
    const lenders = replies.filter(({ answer }) => answer.tokens > 0);
    const lent = lenders.reduce((sum, { answer }) => sum + answer.tokens, 0);
    if (lent > 0) return { kind: 'lent', tokens: lent, lenders: lenders.map(({ name }) => name) };
    const withStoreAccess = replies.filter(({ answer }) => answer.canUseStore);
    for (const { name } of request.mayUseStore ? withStoreAccess : []) {
      const [reply] = await this.#requestLoans([name], request);
      if (reply?.answer.outcome === LendOutcome.SPENT) return { kind: 'spent' };
      if (reply && reply.answer.tokens > 0) {
        return { kind: 'lent', tokens: reply.answer.tokens, lenders: [name] };
      }
    }
    return {
      kind: 'none',
      isKnown: replies.some(({ answer }) => answer.isKnown),
      promisers: replies.filter(({ answer }) => answer.isPromised).map(({ name }) => name),
    };
  }

  /** Asks peers for their promises; those that don't respond are left out. */
  async listPromises(names: readonly string[]): Promise<readonly PeerPromises[]> {
    const remaining = names.filter((name) => this.#peers.has(name));
    const replies: Reply<ListPromisesResponse>[] = [];
    while (remaining.length > 0) {
      const asked = remaining.splice(0, CONCURRENT_BROADCAST_CALLS);
      replies.push(
        ...(await this.#callEach(asked, {
          call: 'listPromises',
          deadlineMilliseconds: LOAN_DEADLINE_MILLISECONDS,
          send: (client, options) => client.listPromises({}, options),
        })),
      );
    }
    return replies.map(({ name, answer }) => ({
      name,
      promises: answer.budgets.map((budgetKey, index) => ({
        budgetKey,
        process: answer.processes[index] ?? '',
      })),
      isComplete: answer.isMemoryWhole,
      canUseStore: !answer.hasLostStore,
      memberLists: answer.formerLists.map(({ members }) => members),
    }));
  }

  /**
   * Notifies peers that a program has started here, batched with others that start at the same
   * time.
   */
  announceProgram(budget: string): void {
    this.#announcements.push(budget);
    if (this.#announcements.length > 1) return;
    setTimeout(() => this.#sendAnnouncements(), ANNOUNCEMENT_DELAY_MILLISECONDS).unref();
  }

  async notifyCountingInstances(entries: readonly QuarantineEntry[]): Promise<ReadonlySet<string>> {
    const names = [...this.#peers.keys()];
    const byPeer = groupByInstance(entries, ({ requestDigest }) =>
      chooseCountingInstances(requestDigest, names),
    );
    const accepted = await Promise.all(
      [...byPeer].map(async ([name, sharedEntries]) =>
        (await this.#shareQuarantine([name], sharedEntries)).length > 0 ? sharedEntries : [],
      ),
    );
    return new Set(accepted.flat().map(({ requestDigest }) => requestDigest));
  }

  async notifyAll(entries: readonly QuarantineEntry[]): Promise<void> {
    const names = [...this.#peers.keys()];
    while (names.length > 0) {
      await this.#shareQuarantine(names.splice(0, CONCURRENT_BROADCAST_CALLS), entries);
    }
  }

  async takeTargetTokens(name: string, request: TokenRequest): Promise<TokenReply | undefined> {
    const { instance, wanted, isOwnerUnreachable } = request;
    const message = {
      instance,
      wanted,
      isOwnerUnreachable,
      limit: toLimitMessage(request),
      membersRevision: BigInt(request.membersRevision),
    };
    const reply = await this.#call(name, {
      call: 'takeTargetTokens',
      deadlineMilliseconds: TOKENS_DEADLINE_MILLISECONDS,
      send: (client, options) => client.takeTargetTokens(message, options),
    });
    if (!reply) return undefined;
    const { given, remaining, nextMilliseconds, isHolder, limit, membersRevision } = reply;
    return {
      given,
      remaining,
      nextMilliseconds,
      isHolder,
      state: limit && fromLimitMessage(limit).state,
      membersRevision: Number(membersRevision),
    };
  }

  async announceLimits(
    names: readonly string[],
    limits: readonly KeyedLimitState[],
  ): Promise<void> {
    const remaining = [...names];
    while (remaining.length > 0) {
      await this.#announceLimitsTo(remaining.splice(0, CONCURRENT_BROADCAST_CALLS), limits);
    }
  }

  async listLimits(name: string): Promise<readonly KeyedLimitState[] | undefined> {
    const reply = await this.#call(name, {
      call: 'listLimits',
      deadlineMilliseconds: LIMITS_DEADLINE_MILLISECONDS,
      send: (client, options) => client.listLimits({}, options),
    });
    return reply?.limits.map(fromLimitMessage);
  }

  async recordOrigins(name: string, origins: readonly KeyedOrigin[]): Promise<void> {
    await this.#call(name, {
      call: 'recordOrigins',
      deadlineMilliseconds: ORIGINS_DEADLINE_MILLISECONDS,
      send: (client, options) =>
        client.recordOrigins({ origins: origins.map(toOriginMessage) }, options),
    });
  }

  async findOrigin(names: readonly string[], streamKey: string): Promise<StreamOrigin | undefined> {
    const found = new Deferred<StreamOrigin | undefined>();
    const asked = names.map(async (name) => {
      const reply = await this.#call(name, {
        call: 'findOrigin',
        deadlineMilliseconds: TOKENS_DEADLINE_MILLISECONDS,
        send: (client, options) => client.findOrigin({ streamKey }, options),
      });
      if (reply?.origin) found.resolve(fromOriginMessage(reply.origin).origin);
    });
    void Promise.all(asked).then(() => found.resolve(undefined));
    return found.promise;
  }

  async checkTarget(name: string, target: FleetTarget): Promise<ConnectionCheck | undefined> {
    const message = { target: toTargetMessage(target) };
    const reply = await this.#call(name, {
      call: 'checkTarget',
      deadlineMilliseconds: CHECK_DEADLINE_MILLISECONDS,
      send: (client, options) => client.checkTarget(message, options),
    });
    return reply && fromCheckResult(reply.result);
  }

  async *forward(
    name: string,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): AsyncGenerator<ForwardedPart> {
    const client = this.#peers.get(name)?.forwardingClient;
    if (!client) {
      yield { kind: 'failure', failure: 'declined', detail: 'the instance has left' };
      return;
    }
    try {
      const message = toForwardedRequestMessage(request);
      for await (const part of client.forwardExchange(message, { signal })) {
        yield fromPartMessage(part);
      }
    } catch (error) {
      if (!(error instanceof ConnectError) || error.code !== Code.Unimplemented) throw error;
      yield { kind: 'failure', failure: 'declined', detail: 'an instance of an earlier version' };
    }
  }

  close(): void {
    this.setPeers(new Map());
    this.#leftAgents.splice(0).forEach((agent) => agent.destroy());
  }

  #shareQuarantine(
    names: readonly string[],
    entries: readonly QuarantineEntry[],
  ): Promise<readonly Reply<ShareQuarantineResponse>[]> {
    const message = { entries: entries.map(quarantineMessage) };
    return this.#callEach(names, {
      call: 'shareQuarantine',
      deadlineMilliseconds: QUARANTINE_DEADLINE_MILLISECONDS,
      send: (client, options) => client.shareQuarantine(message, options),
    });
  }

  #announceLimitsTo(
    names: readonly string[],
    limits: readonly KeyedLimitState[],
  ): Promise<readonly Reply<AnnounceLimitsResponse>[]> {
    const message = { limits: limits.map(toLimitMessage) };
    return this.#callEach(names, {
      call: 'announceLimits',
      deadlineMilliseconds: LIMITS_DEADLINE_MILLISECONDS,
      send: (client, options) => client.announceLimits(message, options),
    });
  }

  #sendAnnouncements(): void {
    const names = [...this.#peers.keys()];
    const byPeer = groupByInstance(this.#announcements, (budget) =>
      chooseInformedPeers(budget, names),
    );
    this.#announcements = [];
    byPeer.forEach((budgets, name) => {
      void this.#call(name, {
        call: 'announcePrograms',
        deadlineMilliseconds: RELEASE_DEADLINE_MILLISECONDS,
        send: (client, options) => client.announcePrograms({ budgets: [...budgets] }, options),
      });
    });
  }

  #requestLoans(
    names: readonly string[],
    request: LoanRequest,
  ): Promise<readonly Reply<LendBudgetResponse>[]> {
    return this.#callEach(names, {
      call: 'lendBudget',
      deadlineMilliseconds: LOAN_DEADLINE_MILLISECONDS,
      send: (client, options) => client.lendBudget(request, options),
    });
  }

  #reorder(name: string, hasGivenTokens: boolean): void {
    const others = this.#order.filter((other) => other !== name);
    this.#order = hasGivenTokens ? [name, ...others] : [...others, name];
  }

  /** Makes the same call to peers in parallel; those that don't respond in time are left out. */
  async #callEach<Answer>(
    names: readonly string[],
    peerCall: PeerCall<Answer>,
  ): Promise<readonly Reply<Answer>[]> {
    const replies = await Promise.all(
      names.map(async (name) => ({
        name,
        answer: await this.#call(name, peerCall),
      })),
    );
    return replies.flatMap(({ name, answer }) => (answer ? [{ name, answer }] : []));
  }

  async #call<Answer>(
    name: string,
    { call, deadlineMilliseconds, send }: PeerCall<Answer>,
  ): Promise<Answer | undefined> {
    const peer = this.#peers.get(name);
    if (!peer || performance.now() < peer.suspendedUntilMilliseconds) return undefined;
    this.#parts.counts.record('peer', call);
    try {
      const answer = await send(peer.client, { timeoutMs: deadlineMilliseconds });
      peer.failures = 0;
      return answer;
    } catch (error) {
      // An instance of an earlier version lacks some calls and answers the others.
      if (error instanceof ConnectError && error.code === Code.Unimplemented) return undefined;
      peer.failures += 1;
      if (peer.failures >= FAILURES_BEFORE_SUSPENSION) {
        peer.suspendedUntilMilliseconds = performance.now() + SUSPENSION_MILLISECONDS;
      }
      // Callers query again later what a peer can't provide now; tokens in a lost response are
      // dropped.
      this.#parts.metrics.increment('peers.failed-calls', 1, { peer: name });
      const detail = error instanceof Error ? error.message : String(error);
      this.#parts.logger.debug('peers.call-failed', { peer: name, detail });
      return undefined;
    }
  }
}
