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

const INTERVAL_MILLISECONDS = 500;

/** The target of calls whose owner was lost: any engine may hold their memory. */
const ANY_TARGET = '*';

/** Options of {@link MemoryRelease}. */
export interface MemoryReleaseOptions {
  readonly configuration: () => Configuration;
  /** Partitions that this instance owns. */
  readonly owned: () => readonly OwnedPartition[];
  /** Whether this instance still owns a partition in this epoch. */
  readonly isOwned: (partition: OwnedPartition) => boolean;
  /** Whether it may give orders for the partition now. */
  readonly mayAct: (partition: OwnedPartition) => boolean;
  readonly engines: EngineControl;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface PendingMemory {
  readonly partition: OwnedPartition;
  readonly memory: EngineMemory;
  /** Engines that have yet to free it. */
  readonly engines: Set<string>;
}

/** Orders engines to free the memory of programs that ended, until the ledger has it recorded. */
export class MemoryRelease {
  readonly #options: MemoryReleaseOptions;

  readonly #releaser: CacheReleaser;

  readonly #pending = new Map<string, PendingMemory>();

  /** The highest fencing number that each engine told, by target. */
  readonly #newestNumbers = new Map<string, number>();

  constructor(options: MemoryReleaseOptions) {
    this.#options = options;
    const { engines, logger, metrics } = options;
    this.#releaser = new CacheReleaser({
      logger,
      metrics,
      port: { freeSession: (release, signal) => this.#order(engines, release, signal) },
      onFreed: (release) => this.#noteFreed(release),
    });
  }

  /** Tasks for the supervisor: the orders, and the look at the ledgers. */
  children(): readonly ChildSpecification[] {
    return [
      this.#releaser.asChild(),
      { name: 'memory-release', restart: 'always', run: async (child) => this.#run(child) },
    ];
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      this.#forgetLost();
      this.#options.owned().forEach((partition) => {
        partition.ledger.memoryToFree().forEach((memory) => this.#add(partition, memory));
      });
      await delay(INTERVAL_MILLISECONDS, signal);
    }
  }

  /** The next owner of a lost partition has its list. */
  #forgetLost(): void {
    [...this.#pending].forEach(([key, { partition }]) => {
      if (!this.#options.isOwned(partition)) this.#pending.delete(key);
    });
  }

  #add(partition: OwnedPartition, memory: EngineMemory): void {
    const key = MemoryRelease.#key(partition.partition, partition.epoch, memory);
    if (this.#pending.has(key)) return;
    const engines = this.#enginesOf(memory);
    const names = new Set(engines.map(([name]) => name));
    this.#pending.set(key, { partition, memory, engines: names });
    if (engines.length === 0) this.#finish(key);
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

  /** A target that is no longer declared holds nothing that could be freed. */
  #enginesOf(memory: EngineMemory): readonly (readonly [string, TargetSpec])[] {
    return [...this.#options.configuration().targets].filter(
      ([name, { backend }]) =>
        backend.kind === 'engine' && (memory.target === ANY_TARGET || memory.target === name),
    );
  }

  /**
   * Sends one order. Engines compare numbers over all orders, and the epochs of partitions rise
   * apart, so an engine may know a higher number from another partition: an owner that still may act
   * takes that number over. A session is freed for good, so a late order of a former owner, which
   * its lease check would let through, changes nothing.
   */
  #order(
    engines: EngineControl,
    release: CacheRelease,
    signal: AbortSignal,
  ): ResultAsync<void, CacheOrderError> {
    const pending = this.#pendingOf(release);
    if (!pending || !this.#options.isOwned(pending.partition)) {
      return errAsync({ kind: 'superseded' });
    }
    if (!this.#options.mayAct(pending.partition)) {
      return errAsync({ kind: 'failed', detail: 'the lease is not certainly live' });
    }
    const order = { kind: 'free-session', sessionId: release.rootProgram } as const;
    const newest = this.#newestNumbers.get(release.target) ?? 0;
    const fencingNumber = Math.max(release.epoch, newest);
    return engines
      .order(release.address, { fencingNumber, order }, signal)
      .map(() => undefined)
      .mapErr((error): CacheOrderError => {
        if (error.kind === 'unreachable') return { kind: 'failed', detail: error.detail };
        this.#newestNumbers.set(release.target, error.newest);
        return { kind: 'failed', detail: `the engine knows the number ${error.newest}` };
      });
  }

  #pendingOf({ rootProgram, epoch }: CacheRelease): PendingMemory | undefined {
    return [...this.#pending.values()].find(
      ({ memory, partition }) => memory.sessionId === rootProgram && partition.epoch === epoch,
    );
  }

  #noteFreed(release: CacheRelease): void {
    [...this.#pending].forEach(([key, { memory, engines, partition }]) => {
      if (memory.sessionId !== release.rootProgram || partition.epoch !== release.epoch) return;
      engines.delete(release.target);
      if (engines.size === 0) this.#finish(key);
    });
  }

  #finish(key: string): void {
    const pending = this.#pending.get(key);
    if (!pending) return;
    const { ledger } = pending.partition;
    // A record that is lost leaves the memory on the list: the order is given again.
    void ledger.memoryFreed(pending.memory).then(() => this.#pending.delete(key));
  }

  static #key(partition: number, epoch: number, { sessionId, target }: EngineMemory): string {
    return `${partition}/${epoch}/${sessionId}/${target}`;
  }
}
