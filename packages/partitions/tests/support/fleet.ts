import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { Result } from 'neverthrow';
import { errAsync, ok } from 'neverthrow';
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
  RecoveredPartition,
} from '../../src';
import { PartitionManager } from '../../src';
import { ClientFaults, connectClient, MemoryStore } from './memoryStore';

/** State of a partition in tests: the list of all its records. */
export class ListState implements PartitionState {
  readonly records: JsonValue[];

  readonly handedOver: boolean;

  readonly previousOwnerMayActUntilMilliseconds: number;

  isStopped = false;

  readonly #journal: PartitionJournal;

  constructor(recovered: RecoveredPartition) {
    this.records = [...((recovered.snapshot ?? []) as JsonValue[]), ...recovered.records];
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

  drain(): Promise<void> {
    return Promise.resolve();
  }

  stop(): void {
    this.isStopped = true;
  }
}

/** One instance of a test's fleet. */
export class Instance {
  readonly member: Member;

  readonly faults = new ClientFaults();

  readonly metrics = new MemoryMetrics();

  readonly states = new Map<number, ListState>();

  readonly manager: PartitionManager;

  readonly #controller = new AbortController();

  #finished: Promise<void> = Promise.resolve();

  constructor(
    store: MemoryStore,
    member: Member,
    peers: PeerChannel,
    partitionCount: number,
    settings: Partial<PartitionSettings>,
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
    });
  }

  start(): void {
    const { signal } = this.#controller;
    this.#finished = this.manager.run({ signal, ready: () => undefined });
  }

  /** Ends the instance without any farewell. */
  async kill(): Promise<void> {
    this.faults.isDown = true;
    this.faults.isWatchSilent = true;
    this.#controller.abort();
    await this.#finished;
  }

  owns(partition: number): boolean {
    return this.manager.ownershipOf(partition).kind === 'local';
  }
}

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** A store, and the instances that use it. */
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
      availabilityZone: ZONES[number % ZONES.length]!,
      leaving: false,
    };
    const instance = new Instance(
      this.store,
      member,
      this.#peers(),
      this.#partitionCount,
      this.#settings,
    );
    this.instances.push(instance);
    instance.start();
    return instance;
  }

  ownerOf(partition: number): Instance | undefined {
    return this.instances.find((instance) => instance.owns(partition));
  }

  #peers(): PeerChannel {
    const unreachable = errAsync({ kind: 'unreachable' as const, detail: 'not connected' });
    return {
      heartbeat: () => unreachable,
      confirmWitness: () => unreachable,
      announceTakeover: () => unreachable,
      offerPartitions: () => unreachable,
    };
  }
}
