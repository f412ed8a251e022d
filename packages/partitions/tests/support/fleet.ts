import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { InstanceList, ListedInstance } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok, okAsync, ResultAsync } from 'neverthrow';
import type {
  Commit,
  CommitError,
  JsonValue,
  Member,
  PartitionHandler,
  PartitionJournal,
  PartitionSettings,
  PartitionState,
  PeerChannel,
  PeerError,
  RecoveredPartition,
} from '../../src';
import { PartitionManager } from '../../src';
import { ClientFaults, connectClient, MemoryStore } from './memoryStore';

/** Partition state for tests: the list of all records. */
export class ListState implements PartitionState {
  readonly records: JsonValue[];

  readonly epoch: number;

  readonly handedOver: boolean;

  readonly previousOwnerMayActUntilMilliseconds: number;

  isStopped = false;

  /** Time that the calls in progress take to complete, in milliseconds. */
  drainMilliseconds = 0;

  readonly #journal: PartitionJournal;

  constructor(recovered: RecoveredPartition) {
    this.records = [...((recovered.snapshot ?? []) as JsonValue[]), ...recovered.records];
    this.epoch = recovered.journal.epoch;
    this.handedOver = recovered.handedOver;
    this.previousOwnerMayActUntilMilliseconds = recovered.previousOwnerMayActUntilMilliseconds;
    this.#journal = recovered.journal;
  }

  async append(record: JsonValue): Promise<Result<Commit, CommitError>> {
    const result = await this.#journal.append([record]);
    if (result.isOk()) this.records.push(record);
    return result;
  }

  snapshot(): JsonValue {
    return [...this.records];
  }

  async drain(): Promise<void> {
    if (this.drainMilliseconds > 0) await delay(this.drainMilliseconds);
  }

  stop(): void {
    this.isStopped = true;
  }
}

const PLATFORM_LAG_MILLISECONDS = 5_000;

/** One instance of a test fleet. */
export class Instance {
  readonly member: Member;

  readonly faults = new ClientFaults();

  readonly metrics = new MemoryMetrics();

  readonly states = new Map<number, ListState>();

  readonly manager: PartitionManager;

  /** Whether the instance and its peers cannot reach each other. */
  isIsolated = false;

  isDead = false;

  #diedAt = Infinity;

  readonly #controller = new AbortController();

  constructor(
    store: MemoryStore,
    member: Member,
    peers: PeerChannel,
    partitionCount: number,
    settings: Partial<PartitionSettings>,
    instanceList: InstanceList,
  ) {
    this.member = member;
    const handler: PartitionHandler = {
      restore: (recovered) => {
        const state = new ListState(recovered);
        this.states.set(recovered.journal.partition, state);
        return ok(state);
      },
    };
    this.manager = new PartitionManager({
      store: connectClient(store, this.faults),
      identity: member,
      partitionCount,
      handler,
      peers,
      logger: silentLogger,
      metrics: this.metrics,
      settings,
      instanceList,
    });
  }

  start(): void {
    const { signal } = this.#controller;
    void this.manager.run({ signal, ready: () => undefined });
  }

  /** Ends all faults. */
  heal(): void {
    Object.assign(this.faults, new ClientFaults());
    this.isIsolated = false;
  }

  /** Ends the instance abruptly, without a handover or the release of its lease. */
  kill(): void {
    this.isDead = true;
    this.#diedAt = Date.now();
    this.isIsolated = true;
    this.faults.isDown = true;
    this.faults.isWatchStalled = true;
    this.#controller.abort();
  }

  /** Whether the instance has disappeared from the platform's lagging list. */
  isListedAsEnded(): boolean {
    return Date.now() - this.#diedAt > PLATFORM_LAG_MILLISECONDS;
  }

  owns(partition: number): boolean {
    return this.manager.ownershipOf(partition).kind === 'local';
  }
}

const AVAILABILITY_ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** A store and the instances that use it. */
export class Fleet {
  readonly store = new MemoryStore();

  readonly instances: Instance[] = [];

  readonly #partitionCount: number;

  readonly #settings: Partial<PartitionSettings>;

  constructor(partitionCount: number, settings: Partial<PartitionSettings> = {}) {
    this.#partitionCount = partitionCount;
    this.#settings = settings;
  }

  start(name = `instance-${this.instances.length}`): Instance {
    const number = this.instances.length;
    const member: Member = {
      instance: name,
      incarnation: `incarnation-${number}`,
      peerAddress: `127.0.0.1:${9_000 + number}`,
      availabilityZone: AVAILABILITY_ZONES[number % AVAILABILITY_ZONES.length]!,
      leaving: false,
    };
    const instance = new Instance(
      this.store,
      member,
      this.#createPeerChannel(member),
      this.#partitionCount,
      this.#settings,
      { read: () => okAsync(this.#listInstances()) },
    );
    this.instances.push(instance);
    instance.start();
    return instance;
  }

  /** Returns the newest epoch of a partition that any instance has served. */
  newestEpoch(partition: number): number {
    const epochs = this.instances.map(({ states }) => states.get(partition)?.epoch ?? 0);
    return Math.max(...epochs);
  }

  ownerOf(partition: number): Instance | undefined {
    return this.instances.find((instance) => instance.owns(partition));
  }

  /** Returns the list of the platform, which contains ended instances for some time. */
  #listInstances(): readonly ListedInstance[] {
    const listed = this.instances.filter((instance) => !instance.isListedAsEnded());
    return listed.map(({ member: { instance, availabilityZone } }) => ({
      instance,
      availabilityZone,
      state: 'live',
    }));
  }

  #find({ incarnation }: Member): Instance | undefined {
    return this.instances.find(({ member }) => member.incarnation === incarnation);
  }

  /** Returns the instance of a peer, if neither it nor the caller is isolated. */
  #findReachable(caller: Member, peer: Member): Instance | undefined {
    const instance = this.#find(peer);
    if (!instance || instance.isIsolated || this.#find(caller)?.isIsolated) return undefined;
    return instance;
  }

  #createPeerChannel(caller: Member): PeerChannel {
    const call = <Value>(
      peer: Member,
      work: (instance: Instance) => Value,
    ): ResultAsync<Value, PeerError> => {
      const run = async (): Promise<Result<Value, PeerError>> => {
        await delay(1);
        const instance = this.#findReachable(caller, peer);
        if (!instance) return err({ kind: 'unreachable', detail: peer.instance });
        return ok(work(instance));
      };
      return new ResultAsync(run());
    };
    return {
      heartbeat: (_peer, heartbeat) => okAsync(heartbeat),
      confirmWitness: (peer, request) =>
        call(peer, ({ manager }) => manager.confirmWitness(request)),
      announceTakeover: (peer, notice) =>
        call(peer, ({ manager }) => manager.announceTakeover(notice)),
      offerPartitions: (peer, partitions) =>
        call(peer, ({ manager }) => manager.offerPartitions(partitions)),
    };
  }
}
