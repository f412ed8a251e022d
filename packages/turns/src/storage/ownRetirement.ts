import type { Logger, Metrics } from '@limpetnotch/observability';
import type { Turn } from '@limpetnotch/peer-protocol';
import { StoreTurnsResponse_Result as StoreResult } from '@limpetnotch/peer-protocol';
import type { KeyValueStore } from '@limpetnotch/store';
import type { IndexedTurn, TurnLog } from '@limpetnotch/turn-log';
import { isRetired } from '../decisions/isRetired';
import type { ToleratedLosses } from '../decisions/toleratedLosses';
import { BATCH_BYTES } from './batchBytes';
import type { Completeness } from './completeness';
import { EXPIRY_MARGIN_MILLISECONDS } from './expiryMargin';
import { HolderTable } from './holderTable';
import { isProcess } from './isProcess';
import { splitBatches } from './splitBatches';
import type { StorageCodec } from './storageCodec';
import type { StorageView, ViewedInstance } from './storageView';
import type { TurnClients } from './turnClients';
import { writeRetirement } from './writeRetirement';

const LIST_MILLISECONDS = 1_500;

const STORE_MILLISECONDS = 4_000;

const TURNS_PER_CALL = 200;

/** Parts of an {@link OwnRetirement}. */
export interface OwnRetirementParts {
  /** Name of this instance. */
  readonly instance: string;
  readonly log: TurnLog;
  readonly store: KeyValueStore;
  readonly codec: StorageCodec;
  readonly view: StorageView;
  readonly clients: TurnClients;
  readonly completeness: Completeness;
  readonly toleratedLosses: ToleratedLosses;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Number of calls that are storing turns here. */
  readonly countWrites: () => number;
  /** Ends the membership of this instance, so that it accepts no turns after a restart either. */
  readonly resign: () => Promise<boolean>;
}

const toText = ({ organisation, id }: { readonly organisation: string; readonly id: string }) =>
  JSON.stringify([organisation, id]);

const toPosition = ({ name, incarnation }: ViewedInstance): string => `${name}/${incarnation}`;

/** Empties this instance when it is to be retired, and reports when it can be removed. */
export class OwnRetirement {
  readonly #parts: OwnRetirementParts;

  /** Turns that each process of another instance has, of those that are held here. */
  readonly #copies = new Map<string, Set<string>>();

  #isRunningReported = false;

  #isEmpty = false;

  #isDoneReported = false;

  constructor(parts: OwnRetirementParts) {
    this.#parts = parts;
  }

  /** Whether this instance accepts no turns; once empty, it never accepts any again. */
  get isLeaving(): boolean {
    const { view, instance } = this.#parts;
    return this.#isEmpty || view.retiring.has(instance);
  }

  /** Sends turns to the instances that should have them; does nothing if this one is not leaving. */
  async advance(): Promise<void> {
    const { view, log, instance, logger, resign } = this.#parts;
    if (!this.isLeaving || this.#isDoneReported) {
      if (!this.isLeaving) this.#isRunningReported = false;
      return;
    }
    if (!this.#isRunningReported) this.#isRunningReported = await this.#report('running');
    if (!this.#isEmpty) {
      await this.#copyTurns(view.listCounted().filter(({ name }) => name !== instance));
      // From here to the assignment nothing may wait, so that the evidence is of one moment.
      if (!this.#hasEnded()) return;
      this.#isEmpty = true;
      logger.info('storage.emptied', { turns: log.size });
    }
    if (await resign()) this.#isDoneReported = await this.#report('done');
  }

  #hasEnded(): boolean {
    const { view, instance, toleratedLosses, completeness, countWrites } = this.#parts;
    const instances = view.listCounted();
    if (!this.isLeaving || countWrites() > 0) return false;
    const positions = new Map(instances.map((one) => [one.name, toPosition(one)]));
    return isRetired({
      instance,
      held: this.#listHeld(),
      instances,
      toleratedLosses,
      hasLost: completeness.hasLost,
      isHeldBy: (name, turn) =>
        this.#copies.get(positions.get(name) ?? '')?.has(toText(turn)) ?? false,
    });
  }

  #listHeld(): Iterable<IndexedTurn> {
    return this.#parts.log.listAfter(0, Date.now() - EXPIRY_MARGIN_MILLISECONDS);
  }

  async #copyTurns(others: readonly ViewedInstance[]): Promise<void> {
    await Promise.all(others.map((other) => this.#learnCopies(other)));
    const holders = new HolderTable(others, this.#parts.toleratedLosses);
    for (const other of others) {
      const copies = this.#copies.get(toPosition(other));
      if (copies && other.state === 'serving') {
        const missing = [...this.#listHeld()].filter(
          (turn) => !copies.has(toText(turn)) && holders.isHolder(other.name, turn),
        );
        await this.#send(other, missing, copies);
      }
    }
  }

  /** Reads which turns an instance has, once for each of its processes. */
  async #learnCopies(other: ViewedInstance): Promise<void> {
    const { clients, log } = this.#parts;
    const position = toPosition(other);
    if (this.#copies.has(position)) return;
    const client = clients.to(other.address);
    const copies = new Set<string>();
    try {
      let cursor = '';
      do {
        const page = await client.listTurns({ cursor }, { timeoutMs: LIST_MILLISECONDS });
        page.keys
          .filter(({ organisation, id }) => log.has(organisation, id))
          .forEach((key) => copies.add(toText(key)));
        cursor = page.nextCursor;
      } while (cursor !== '');
      if (await isProcess(client, other.incarnation)) this.#copies.set(position, copies);
    } catch (error) {
      this.#recordFailure(other, error);
    }
  }

  async #send(
    other: ViewedInstance,
    missing: readonly IndexedTurn[],
    copies: Set<string>,
  ): Promise<void> {
    const { clients, metrics } = this.#parts;
    const batches = splitBatches(missing, ({ location }) => location.length, {
      bytes: BATCH_BYTES,
      items: TURNS_PER_CALL,
    });
    try {
      for (const batch of batches) {
        const turns = await this.#readTurns(batch);
        const { results } = await clients
          .to(other.address)
          .storeTurns({ turns: [...turns] }, { timeoutMs: STORE_MILLISECONDS });
        turns.forEach((turn, position) => {
          if (results[position] === StoreResult.STORED) copies.add(toText(turn));
        });
        metrics.increment('storage.turns-handed-over', turns.length);
      }
    } catch (error) {
      this.#recordFailure(other, error);
    }
  }

  async #readTurns(batch: readonly IndexedTurn[]): Promise<readonly Turn[]> {
    const turns: Turn[] = [];
    for (const { organisation, id } of batch) {
      const read = await this.#parts.log.read(organisation, id);
      if (read.isOk() && read.value) turns.push(read.value);
    }
    return turns;
  }

  #recordFailure({ name }: ViewedInstance, error: unknown): void {
    const detail = error instanceof Error ? error.message : String(error);
    this.#parts.metrics.increment('storage.handover-failures', 1, { instance: name });
    this.#parts.logger.debug('storage.handover-failed', { instance: name, detail });
  }

  async #report(state: 'running' | 'done'): Promise<boolean> {
    const { store, codec, instance, logger } = this.#parts;
    const isWritten = await writeRetirement({ store, codec, instance, state });
    if (isWritten) logger.info('retirement.reported', { retired: instance, state });
    return isWritten;
  }
}
