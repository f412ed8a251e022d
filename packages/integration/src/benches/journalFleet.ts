import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { Member, PartitionHandler, PeerChannel, PeerError } from '@limpetnotch/partitions';
import { PartitionManager } from '@limpetnotch/partitions';
import { createEtcdStore } from '@limpetnotch/store';
import { ProgramLedger } from '@limpetnotch/programs';
import type { StoreStatistics } from '@limpetnotch/stand-ins';
import { StoreStandIn } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok, okAsync, ResultAsync } from 'neverthrow';

const POLL_MILLISECONDS = 5;
const SETTLE_MILLISECONDS = 60_000;
const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

/** Time at which an instance started to serve a partition or to refuse its calls. */
export interface PartitionTime {
  readonly partition: number;
  readonly atMilliseconds: number;
}

/** An instance of the fleet; it runs in this process with its own store client. */
export interface JournalInstance {
  readonly member: Member;
  readonly manager: PartitionManager;
  readonly metrics: MemoryMetrics;
  readonly ledgers: Map<number, ProgramLedger>;
  readonly served: PartitionTime[];
  readonly refused: PartitionTime[];
  /** Stops the instance without a drain; its lease expires. */
  kill(): Promise<void>;
  isDead: boolean;
}

/** Instances in one process that access the same store stand-in over HTTP. */
export class JournalFleet {
  readonly instances: JournalInstance[] = [];

  readonly #store = new StoreStandIn();

  readonly #partitionCount: number;

  #endpoint = '';

  constructor(partitionCount: number) {
    this.#partitionCount = partitionCount;
  }

  async start(count: number): Promise<void> {
    this.#endpoint = `http://127.0.0.1:${await this.#store.start()}`;
    for (let number = 0; number < count; number += 1) this.startInstance();
    await this.waitUntilServed();
  }

  async stop(): Promise<void> {
    await Promise.all(this.liveInstances().map((instance) => instance.kill()));
    await this.#store.stop();
  }

  statistics(): StoreStatistics {
    return this.#store.statistics();
  }

  liveInstances(): readonly JournalInstance[] {
    return this.instances.filter(({ isDead }) => !isDead);
  }

  /** Returns the ledger that serves a partition, or `undefined` if no live instance owns it. */
  ledgerOf(partition: number): ProgramLedger | undefined {
    const owner = this.liveInstances().find(
      ({ manager }) => manager.ownershipOf(partition).kind === 'local',
    );
    return owner?.ledgers.get(partition);
  }

  counter(name: 'journal.commits' | 'journal.records'): number {
    return this.instances.reduce((sum, { metrics }) => sum + metrics.counter(name), 0);
  }

  /** Resolves when live instances serve every partition; rejects after 60 seconds. */
  async waitUntilServed(): Promise<void> {
    const partitions = Array.from({ length: this.#partitionCount }, (_value, number) => number);
    const deadline = performance.now() + SETTLE_MILLISECONDS;
    while (!partitions.every((partition) => this.ledgerOf(partition))) {
      if (performance.now() > deadline) throw new Error('a partition was not served in time');
      await delay(POLL_MILLISECONDS);
    }
  }

  startInstance(): JournalInstance {
    const number = this.instances.length;
    const member: Member = {
      instance: `instance-${number}`,
      incarnation: `incarnation-${number}`,
      peerAddress: `127.0.0.1:${number + 1}`,
      availabilityZone: ZONES[number % ZONES.length] ?? ZONES[0],
      leaving: false,
    };
    const instance = this.#create(member);
    this.instances.push(instance);
    return instance;
  }

  #create(member: Member): JournalInstance {
    const metrics = new MemoryMetrics();
    const store = createEtcdStore({ endpoints: [this.#endpoint] });
    const ledgers = new Map<number, ProgramLedger>();
    const served: PartitionTime[] = [];
    const refused: PartitionTime[] = [];
    const handler: PartitionHandler = {
      restore: (recovered) => {
        const { partition } = recovered.journal;
        const options = { ...recovered, logger: silentLogger, metrics };
        return ProgramLedger.restore(options).map((ledger) => {
          ledgers.set(partition, ledger);
          served.push({ partition, atMilliseconds: performance.now() });
          return {
            snapshot: () => ledger.snapshot(),
            drain: () => {
              refused.push({ partition, atMilliseconds: performance.now() });
              return ledger.drain();
            },
            stop: () => ledger.stop(),
          };
        });
      },
    };
    const manager = new PartitionManager({
      store,
      identity: member,
      partitionCount: this.#partitionCount,
      handler,
      peers: this.#createPeerChannel(),
      logger: silentLogger,
      metrics,
    });
    const controller = new AbortController();
    const finished = manager.run({ signal: controller.signal, ready: () => undefined });
    const instance: JournalInstance = {
      member,
      manager,
      metrics,
      ledgers,
      served,
      refused,
      isDead: false,
      kill: async () => {
        instance.isDead = true;
        controller.abort();
        await finished;
        await store.close();
      },
    };
    return instance;
  }

  #createPeerChannel(): PeerChannel {
    const call = <Value>(
      peer: Member,
      work: (manager: PartitionManager) => Value,
    ): ResultAsync<Value, PeerError> => {
      const run = async (): Promise<Result<Value, PeerError>> => {
        await delay(1);
        const instance = this.liveInstances().find(
          ({ member }) => member.incarnation === peer.incarnation,
        );
        if (!instance) return err({ kind: 'unreachable', detail: peer.instance });
        return ok(work(instance.manager));
      };
      return new ResultAsync(run());
    };
    return {
      heartbeat: (_peer, heartbeat) => okAsync(heartbeat),
      confirmWitness: (peer, request) => call(peer, (manager) => manager.confirmWitness(request)),
      announceTakeover: (peer, notice) => call(peer, (manager) => manager.announceTakeover(notice)),
      offerPartitions: (peer, partitions) =>
        call(peer, (manager) => manager.offerPartitions(partitions)),
    };
  }
}
