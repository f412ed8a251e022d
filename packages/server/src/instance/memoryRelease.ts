import type { Configuration, TargetSpec } from '@limpetnotch/declarations';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { EngineMemory } from '@limpetnotch/programs';
import { CacheReleaser } from '@limpetnotch/scheduling';
import type { CacheOrderError, CacheRelease } from '@limpetnotch/scheduling';
import { delay } from '@limpetnotch/supervision';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { errAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { OwnedPartition } from '../owner/ownedPartition';
import type { EngineControl } from '../targets/engineControl';

const SCAN_INTERVAL_MILLISECONDS = 500;

/** Target recorded for calls whose owner was lost: any engine may hold their memory. */
const ANY_TARGET = '*';

/** Options of {@link MemoryRelease}. */
export interface MemoryReleaseOptions {
  readonly getConfiguration: () => Configuration;
  /** Returns the partitions that this instance owns. */
  readonly listOwnedPartitions: () => readonly OwnedPartition[];
  /** Whether this instance still owns a partition in the same epoch. */
  readonly isOwned: (partition: OwnedPartition) => boolean;
  /** Whether this instance may currently send orders for a partition. */
  readonly mayAct: (partition: OwnedPartition) => boolean;
  readonly engines: EngineControl;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface PendingMemory {
  readonly partition: OwnedPartition;
  readonly memory: EngineMemory;
  /** Engines that have not yet freed the memory. */
  readonly engines: Set<string>;
}

/**
 * Orders engines to free the memory of ended programs, until the ledger has recorded it as freed.
 */
export class MemoryRelease {
  readonly #options: MemoryReleaseOptions;

  readonly #releaser: CacheReleaser;

  readonly #pendingMemory = new Map<string, PendingMemory>();

  /** Highest fencing number returned by each engine, by target. */
  readonly #newestFencingNumbers = new Map<string, number>();

  constructor(options: MemoryReleaseOptions) {
    this.#options = options;
    const { engines, logger, metrics } = options;
    this.#releaser = new CacheReleaser({
      logger,
      metrics,
      port: { freeSession: (release, signal) => this.#sendOrder(engines, release, signal) },
      onFreed: (release) => this.#recordFreed(release),
    });
  }

  /** Returns the tasks for the supervisor: one sends the orders, the other scans the ledgers. */
  createChildren(): readonly ChildSpecification[] {
    return [
      this.#releaser.asChild(),
      { name: 'memory-release', restart: 'always', run: async (child) => this.#run(child) },
    ];
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      this.#removeLostPartitions();
      this.#options.listOwnedPartitions().forEach((partition) => {
        partition.ledger.getMemoryToFree().forEach((memory) => this.#addMemory(partition, memory));
      });
      await delay(SCAN_INTERVAL_MILLISECONDS, signal);
    }
  }

  /** Memory of lost partitions is removed here, as the next owner has the list in its ledger. */
  #removeLostPartitions(): void {
    [...this.#pendingMemory].forEach(([key, { partition }]) => {
      if (!this.#options.isOwned(partition)) this.#pendingMemory.delete(key);
    });
  }

  #addMemory(partition: OwnedPartition, memory: EngineMemory): void {
    const key = MemoryRelease.#createKey(partition.partition, partition.epoch, memory);
    if (this.#pendingMemory.has(key)) return;
    const engines = this.#findEngines(memory);
    const names = new Set(engines.map(([name]) => name));
    this.#pendingMemory.set(key, { partition, memory, engines: names });
    if (engines.length === 0) this.#recordFreedMemory(key);
    engines.forEach(([name, target]) => {
      this.#releaser.add({
        organisation: memory.program.organisation,
        rootProgram: memory.sessionId,
        target: name,
        address: target.address,
        epoch: partition.epoch,
        fencing: target.backend.kind === 'engine' ? target.backend.fencing : 'ignored',
        formerOwnerMilliseconds: Math.max(
          0,
          partition.previousOwnerMayActUntilMilliseconds - Date.now(),
        ),
      });
    });
  }

  /** Memory of a target that is no longer declared cannot be freed. */
  #findEngines(memory: EngineMemory): readonly (readonly [string, TargetSpec])[] {
    return [...this.#options.getConfiguration().targets].filter(
      ([name, { backend }]) =>
        backend.kind === 'engine' && (memory.target === ANY_TARGET || memory.target === name),
    );
  }

  /**
   * Sends one order. An engine compares the fencing numbers of all orders, while the epochs of
   * partitions increase independently, so it may have seen a higher number from another partition.
   * An owner that may still act adopts that number. Freeing a session is final, so a late order of
   * a previous owner that passes its lease check has no effect.
   */
  #sendOrder(
    engines: EngineControl,
    release: CacheRelease,
    signal: AbortSignal,
  ): ResultAsync<void, CacheOrderError> {
    const pending = this.#findPending(release);
    if (!pending || !this.#options.isOwned(pending.partition)) {
      return errAsync({ kind: 'superseded' });
    }
    if (!this.#options.mayAct(pending.partition)) {
      return errAsync({ kind: 'failed', detail: 'the lease may have expired' });
    }
    const order = { kind: 'free-session', sessionId: release.rootProgram } as const;
    const newest = this.#newestFencingNumbers.get(release.target) ?? 0;
    const fencingNumber = Math.max(release.epoch, newest);
    return engines
      .sendOrder(release.address, { fencingNumber, order }, signal)
      .map(() => undefined)
      .mapErr((error): CacheOrderError => {
        if (error.kind === 'unreachable') return { kind: 'failed', detail: error.detail };
        this.#newestFencingNumbers.set(release.target, error.newest);
        return {
          kind: 'failed',
          detail: `the engine has seen the higher fencing number ${error.newest}`,
        };
      });
  }

  #findPending({ rootProgram, epoch }: CacheRelease): PendingMemory | undefined {
    return [...this.#pendingMemory.values()].find(
      ({ memory, partition }) => memory.sessionId === rootProgram && partition.epoch === epoch,
    );
  }

  #recordFreed(release: CacheRelease): void {
    [...this.#pendingMemory].forEach(([key, { memory, engines, partition }]) => {
      if (memory.sessionId !== release.rootProgram || partition.epoch !== release.epoch) return;
      engines.delete(release.target);
      if (engines.size === 0) this.#recordFreedMemory(key);
    });
  }

  #recordFreedMemory(key: string): void {
    const pending = this.#pendingMemory.get(key);
    if (!pending) return;
    const { ledger } = pending.partition;
    // If the record is lost, the memory stays listed and the order is sent again.
    void ledger.recordMemoryFreed(pending.memory).then(() => this.#pendingMemory.delete(key));
  }

  static #createKey(partition: number, epoch: number, { sessionId, target }: EngineMemory): string {
    return `${partition}/${epoch}/${sessionId}/${target}`;
  }
}
