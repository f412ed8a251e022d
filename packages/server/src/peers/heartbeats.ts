import { createHash } from 'node:crypto';
import { create } from '@bufbuild/protobuf';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { Member, Membership } from '@limpetnotch/partitions';
import type { Heartbeat, PeerClients } from '@limpetnotch/peer-protocol';
import { HeartbeatSchema, quarantineEntryOf, quarantineMessage } from '@limpetnotch/peer-protocol';
import type { QuarantineEntry } from '@limpetnotch/scheduling';
import { delay, Supervisor } from '@limpetnotch/supervision';
import type { ChildContext } from '@limpetnotch/supervision';
import { memberMessage } from './memberMessage';

const INTERVAL_MILLISECONDS = 1_000;
const HEARD_MILLISECONDS = 5_000;
const MAXIMUM_PEERS = 8;

/** What heartbeats carry, besides the member itself. */
export interface HeartbeatContent {
  /** Revision of the configuration in force here. */
  revision(): number;
  /** Takes note of a revision that a peer has in force. */
  noteRevision(revision: number): void;
  /** Requests that crash targets, as known here. */
  quarantine(): readonly QuarantineEntry[];
  /** Takes in what a peer knows of requests that crash targets. */
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

interface HeardPeer {
  readonly at: number;
  readonly revision: number;
}

/** Returns the peers that an instance talks to: all of a small fleet, a fixed few of a large one. */
export const chosenPeers = (self: string, members: readonly Member[]): readonly Member[] => {
  const score = ({ instance }: Member): string =>
    createHash('sha256').update([self, instance].sort().join('/')).digest('hex');
  return members
    .filter(({ instance }) => instance !== self)
    .map((member) => ({ member, score: score(member) }))
    .sort((first, second) => (first.score < second.score ? -1 : 1))
    .slice(0, MAXIMUM_PEERS)
    .map(({ member }) => member);
};

/** Exchanges heartbeats with a fixed few peers, by one task for each. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;

  readonly #supervisor: Supervisor;

  readonly #peers = new Map<string, Member>();

  readonly #heard = new Map<string, HeardPeer>();

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
    const { logger, metrics } = options;
    this.#supervisor = new Supervisor({ name: 'heartbeats', logger, metrics });
  }

  /** Starts and stops the tasks of peers as they come and go, until the signal aborts. */
  async run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      await this.#reconcile();
      await delay(INTERVAL_MILLISECONDS, signal);
    }
    await this.#supervisor.stop();
  }

  /** Builds this instance's heartbeat. */
  own(): Heartbeat {
    const { membership, content } = this.#options;
    return create(HeartbeatSchema, {
      member: memberMessage(membership.identity),
      configurationRevision: content.revision(),
      storeReachable: membership.isStoreReachable(),
      quarantine: content.quarantine().map(quarantineMessage),
    });
  }

  /** Takes in a peer's heartbeat. */
  take(heartbeat: Heartbeat): void {
    const { content } = this.#options;
    const instance = heartbeat.member?.instance;
    if (instance === undefined) return;
    const revision = heartbeat.configurationRevision;
    this.#heard.set(instance, { at: performance.now(), revision });
    content.noteRevision(revision);
    content.importQuarantine(heartbeat.quarantine.map(quarantineEntryOf));
  }

  /** Whether most of the chosen peers were heard lately and none has a later configuration. */
  hearsMajority(): boolean {
    const since = performance.now() - HEARD_MILLISECONDS;
    const revision = this.#options.content.revision();
    const heard = [...this.#peers.keys()]
      .map((instance) => this.#heard.get(instance))
      .filter((peer): peer is HeardPeer => peer !== undefined && peer.at >= since);
    if (heard.some((peer) => peer.revision > revision)) return false;
    return heard.length > 0 && heard.length * 2 >= this.#peers.size;
  }

  /** Addresses of the chosen peers, those with the latest configuration first. */
  addresses(): readonly string[] {
    const revisionOf = ({ instance }: Member): number => this.#heard.get(instance)?.revision ?? 0;
    return [...this.#peers.values()]
      .sort((first, second) => revisionOf(second) - revisionOf(first))
      .map(({ peerAddress }) => peerAddress);
  }

  async #reconcile(): Promise<void> {
    const { membership, clients } = this.#options;
    const members = membership.members();
    const chosen = chosenPeers(membership.identity.instance, members);
    const wanted = new Map(chosen.map((peer) => [peer.instance, peer]));
    // While the store is out the list may be empty or old: known peers are kept.
    if (members.length === 0) return;
    const gone = [...this.#peers].filter(
      ([instance, peer]) => wanted.get(instance)?.incarnation !== peer.incarnation,
    );
    for (const [instance] of gone) await this.#forget(instance);
    const fresh = chosen.filter(({ instance }) => !this.#peers.has(instance));
    for (const peer of fresh) await this.#follow(peer);
    clients.retain(new Set(members.map(({ peerAddress }) => peerAddress)));
  }

  async #follow(peer: Member): Promise<void> {
    this.#peers.set(peer.instance, peer);
    await this.#supervisor.startChild({
      name: peer.instance,
      restart: 'always',
      run: async (child) => this.#beat(peer, child),
    });
  }

  async #forget(instance: string): Promise<void> {
    this.#peers.delete(instance);
    this.#heard.delete(instance);
    await this.#supervisor.stopChild(instance);
  }

  async #beat(peer: Member, { signal, ready }: ChildContext): Promise<void> {
    const { clients, metrics } = this.#options;
    ready();
    while (!signal.aborted) {
      const reply = await clients
        .to(peer.peerAddress)
        .exchange({ case: 'heartbeat', value: this.own() });
      if (reply.isErr()) metrics.increment('peer.lost-heartbeats', 1, { peer: peer.instance });
      else if (reply.value.case === 'heartbeat') this.take(reply.value.value);
      await delay(INTERVAL_MILLISECONDS, signal);
    }
  }
}
