import { createHash } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { Member, Membership } from '@limpetnotch/partitions';
import type { Heartbeat, PeerClients } from '@limpetnotch/peer-protocol';
import { HeartbeatSchema, quarantineEntryOf, quarantineMessage } from '@limpetnotch/peer-protocol';
import type { QuarantineEntry } from '@limpetnotch/scheduling';
import { delay, Supervisor } from '@limpetnotch/supervision';
import type { ChildContext } from '@limpetnotch/supervision';
import { createMemberMessage } from './memberMessage';

const HEARTBEAT_INTERVAL_MILLISECONDS = 1_000;
const HEARTBEAT_VALIDITY_MILLISECONDS = 5_000;
const MAXIMUM_PEERS = 8;

/** Content of heartbeats, besides the member itself. */
export interface HeartbeatContent {
  /** Returns the revision of the configuration in force on this instance. */
  getRevision(): number;
  /** Records a revision that a peer has in force. */
  recordRevision(revision: number): void;
  /** Returns the quarantined requests known to this instance. */
  listQuarantine(): readonly QuarantineEntry[];
  /** Merges the quarantined requests known to a peer. */
  importQuarantine(entries: readonly QuarantineEntry[]): void;
}

/** Options of {@link Heartbeats}. */
export interface HeartbeatsOptions {
  readonly membership: Membership;
  readonly clients: PeerClients;
  readonly content: HeartbeatContent;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface PeerReport {
  readonly receivedAt: number;
  readonly revision: number;
}

/** Returns the peers with which an instance exchanges heartbeats: at most 8, chosen by hash. */
export const selectPeers = (self: string, members: readonly Member[]): readonly Member[] => {
  const computeScore = ({ instance }: Member): string =>
    createHash('sha256').update([self, instance].sort().join('/')).digest('hex');
  return members
    .filter(({ instance }) => instance !== self)
    .map((member) => ({ member, score: computeScore(member) }))
    .sort((first, second) => (first.score < second.score ? -1 : 1))
    .slice(0, MAXIMUM_PEERS)
    .map(({ member }) => member);
};

/** Exchanges heartbeats with a small fixed set of peers, with one task per peer. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;

  readonly #supervisor: Supervisor;

  readonly #peers = new Map<string, Member>();

  readonly #reports = new Map<string, PeerReport>();

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
    const { logger, metrics } = options;
    this.#supervisor = new Supervisor({ name: 'heartbeats', logger, metrics });
  }

  /** Starts and stops tasks as peers join and leave, until the signal aborts. */
  async run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      await this.#reconcile();
      await delay(HEARTBEAT_INTERVAL_MILLISECONDS, signal);
    }
    await this.#supervisor.stop();
  }

  /** Creates the heartbeat of this instance. */
  createHeartbeat(): Heartbeat {
    const { membership, content } = this.#options;
    return create(HeartbeatSchema, {
      member: createMemberMessage(membership.identity),
      configurationRevision: content.getRevision(),
      storeReachable: membership.isStoreReachable(),
      quarantine: content.listQuarantine().map(quarantineMessage),
    });
  }

  /** Handles a heartbeat of a peer. */
  receive(heartbeat: Heartbeat): void {
    const { content } = this.#options;
    const instance = heartbeat.member?.instance;
    if (instance === undefined) return;
    const revision = heartbeat.configurationRevision;
    this.#reports.set(instance, { receivedAt: performance.now(), revision });
    content.recordRevision(revision);
    content.importQuarantine(heartbeat.quarantine.map(quarantineEntryOf));
  }

  /** Whether most selected peers sent a recent heartbeat and none has a later configuration. */
  isConfirmedByMajority(): boolean {
    const oldestValidTime = performance.now() - HEARTBEAT_VALIDITY_MILLISECONDS;
    const revision = this.#options.content.getRevision();
    const recentReports = [...this.#peers.keys()]
      .map((instance) => this.#reports.get(instance))
      .filter(
        (peer): peer is PeerReport => peer !== undefined && peer.receivedAt >= oldestValidTime,
      );
    if (recentReports.some((peer) => peer.revision > revision)) return false;
    return recentReports.length > 0 && recentReports.length * 2 >= this.#peers.size;
  }

  /** Returns the addresses of the selected peers, those with the latest configuration first. */
  listAddresses(): readonly string[] {
    const getReportedRevision = ({ instance }: Member): number =>
      this.#reports.get(instance)?.revision ?? 0;
    return [...this.#peers.values()]
      .sort((first, second) => getReportedRevision(second) - getReportedRevision(first))
      .map(({ peerAddress }) => peerAddress);
  }

  async #reconcile(): Promise<void> {
    const { membership, clients } = this.#options;
    const members = membership.members();
    const selected = selectPeers(membership.identity.instance, members);
    const wantedPeers = new Map(selected.map((peer) => [peer.instance, peer]));
    // While the store is unavailable the list may be empty or outdated, so the current peers are
    // kept.
    if (members.length === 0) return;
    const removed = [...this.#peers].filter(
      ([instance, peer]) => wantedPeers.get(instance)?.incarnation !== peer.incarnation,
    );
    for (const [instance] of removed) await this.#unfollow(instance);
    const added = selected.filter(({ instance }) => !this.#peers.has(instance));
    for (const peer of added) await this.#follow(peer);
    clients.retain(new Set(members.map(({ peerAddress }) => peerAddress)));
  }

  async #follow(peer: Member): Promise<void> {
    this.#peers.set(peer.instance, peer);
    await this.#supervisor.startChild({
      name: peer.instance,
      restart: 'always',
      run: async (child) => this.#exchangeHeartbeats(peer, child),
    });
  }

  async #unfollow(instance: string): Promise<void> {
    this.#peers.delete(instance);
    this.#reports.delete(instance);
    await this.#supervisor.stopChild(instance);
  }

  async #exchangeHeartbeats(peer: Member, { signal, ready }: ChildContext): Promise<void> {
    const { clients, metrics } = this.#options;
    ready();
    while (!signal.aborted) {
      const reply = await clients
        .to(peer.peerAddress)
        .exchange({ case: 'heartbeat', value: this.createHeartbeat() });
      if (reply.isErr()) metrics.increment('peer.lost-heartbeats', 1, { peer: peer.instance });
      else if (reply.value.case === 'heartbeat') this.receive(reply.value.value);
      await delay(HEARTBEAT_INTERVAL_MILLISECONDS, signal);
    }
  }
}
