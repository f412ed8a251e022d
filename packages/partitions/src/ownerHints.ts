import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreListing, WatchEvent } from '@limpetnotch/store';
import { boundStoreCall, parseJson } from '@limpetnotch/store';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { z } from 'zod';
import { memberSchema } from './member';
import type { PartitionSettings } from './partitionSettings';
import { followPrefix } from './util/followPrefix';

const OWNERS_PREFIX = 'owners/';

const ownerHintSchema = z.object({
  partition: z.number().int().nonnegative(),
  epoch: z.number().int().positive(),
  owner: memberSchema,
  /** Whether the owner handed the partition over, so that it is unowned. */
  handedOver: z.boolean(),
});

/** Last known claim of a partition. */
export type OwnerHint = z.infer<typeof ownerHintSchema>;

/** Options of {@link OwnerHints}. */
export interface OwnerHintsOptions {
  readonly store: KeyValueStore;
  readonly settings: PartitionSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called with each hint of a newer epoch. */
  onNewer(hint: OwnerHint): void;
}

/**
 * Caches the owners of partitions for routing. Each owner writes a small key after its claim, so
 * that watchers need not receive every commit of every journal. Only the head determines the owner
 * of a partition; an outdated hint costs a second hop.
 */
export class OwnerHints {
  readonly #options: OwnerHintsOptions;

  readonly #hints = new Map<number, OwnerHint>();

  constructor(options: OwnerHintsOptions) {
    this.#options = options;
  }

  /** Returns the newest known claim of a partition. */
  get(partition: number): OwnerHint | undefined {
    return this.#hints.get(partition);
  }

  /** Records a hint if it is newer than the known one. */
  update(hint: OwnerHint): void {
    if (!OwnerHints.#isNewer(hint, this.#hints.get(hint.partition))) return;
    this.#hints.set(hint.partition, hint);
    this.#options.onNewer(hint);
  }

  /**
   * Publishes a claim or a handover of this instance. Failures are only counted, since the other
   * instances also obtain the owner from the head.
   */
  async publish(hint: OwnerHint): Promise<void> {
    const { store, settings, metrics } = this.#options;
    this.update(hint);
    const key = `${OWNERS_PREFIX}${hint.partition}`;
    const current = await boundStoreCall(store.read(key), settings.storeDeadlineMilliseconds);
    if (current.isErr()) {
      metrics.increment('partition.hint-failures');
      return;
    }
    const known = current.value && parseJson(ownerHintSchema, current.value.value);
    if (!OwnerHints.#isNewer(hint, known)) return;
    const expectedRevision = current.value?.revision ?? 0;
    const request = { key, expectedRevision, value: JSON.stringify(hint) };
    const written = await boundStoreCall(
      store.compareAndSwap(request),
      settings.storeDeadlineMilliseconds,
    );
    if (written.isErr()) metrics.increment('partition.hint-failures');
  }

  /** Returns the supervised task that watches the hints. */
  child(): ChildSpecification {
    return {
      name: 'partitions.owners',
      restart: 'always',
      run: (context) => this.#watchHints(context),
    };
  }

  async #watchHints({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const { store, settings, metrics } = this.#options;
    await followPrefix({
      store,
      prefix: OWNERS_PREFIX,
      signal,
      deadlineMilliseconds: settings.storeDeadlineMilliseconds,
      renewalMilliseconds: () => settings.watchRenewalMilliseconds,
      onListing: (listing) => this.#applyListing(listing),
      onEvent: (event) => this.#applyEvent(event),
      onFailure: () => metrics.increment('partition.hint-watch-failures'),
    });
  }

  static #isNewer(hint: OwnerHint, known: OwnerHint | undefined): boolean {
    if (!known || hint.epoch > known.epoch) return true;
    return hint.epoch === known.epoch && hint.handedOver && !known.handedOver;
  }

  #applyListing({ entries }: StoreListing): void {
    entries.forEach(({ value }) => this.#applyValue(value));
  }

  #applyEvent(event: WatchEvent): void {
    switch (event.kind) {
      case 'put':
        this.#applyValue(event.entry.value);
        break;
      case 'removed':
      case 'progress':
        break;
      // no default
    }
  }

  #applyValue(value: string): void {
    const hint = parseJson(ownerHintSchema, value);
    if (hint) this.update(hint);
    else this.#options.metrics.increment('partition.malformed-hints');
  }
}
