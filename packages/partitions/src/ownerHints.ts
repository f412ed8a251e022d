import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreListing, WatchEvent } from '@limpetnotch/store';
import { boundStoreCall, parseWith } from '@limpetnotch/store';
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
  /** Whether the owner gave the partition up, so that it is free. */
  handedOver: z.boolean(),
});

/** Who claimed a partition last, as far as is known. */
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
 * Knows who owns which partition, for routing. Each owner writes a small key after its claim, so
 * that the watchers need not receive every commit of every journal. Only the head decides who
 * owns a partition: a hint that lags costs a second hop.
 */
export class OwnerHints {
  readonly #options: OwnerHintsOptions;

  readonly #hints = new Map<number, OwnerHint>();

  constructor(options: OwnerHintsOptions) {
    this.#options = options;
  }

  /** Returns the newest known owner of a partition. */
  of(partition: number): OwnerHint | undefined {
    return this.#hints.get(partition);
  }

  /** Takes a hint in unless as new a one is known. */
  learn(hint: OwnerHint): void {
    if (!OwnerHints.#isNewer(hint, this.#hints.get(hint.partition))) return;
    this.#hints.set(hint.partition, hint);
    this.#options.onNewer(hint);
  }

  /** Publishes a claim or a handover of this instance; gives up quietly, since the others also learn from the head. */
  async publish(hint: OwnerHint): Promise<void> {
    const { store, settings, metrics } = this.#options;
    this.learn(hint);
    const key = `${OWNERS_PREFIX}${hint.partition}`;
    const current = await boundStoreCall(store.read(key), settings.storeDeadlineMilliseconds);
    if (current.isErr()) {
      metrics.increment('partition.hint-failures');
      return;
    }
    const known = current.value && parseWith(ownerHintSchema, current.value.value);
    if (!OwnerHints.#isNewer(hint, known)) return;
    const expectedRevision = current.value?.revision ?? 0;
    const request = { key, expectedRevision, value: JSON.stringify(hint) };
    const written = await boundStoreCall(
      store.compareAndSwap(request),
      settings.storeDeadlineMilliseconds,
    );
    if (written.isErr()) metrics.increment('partition.hint-failures');
  }

  /** Task for the supervisor: the watch on the hints. */
  child(): ChildSpecification {
    return {
      name: 'partitions.owners',
      restart: 'always',
      run: (context) => this.#follow(context),
    };
  }

  async #follow({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const { store, settings, metrics } = this.#options;
    await followPrefix({
      store,
      prefix: OWNERS_PREFIX,
      signal,
      deadlineMilliseconds: settings.storeDeadlineMilliseconds,
      renewalMilliseconds: () => settings.watchRenewalMilliseconds,
      onListing: (listing) => this.#takeListing(listing),
      onEvent: (event) => this.#takeEvent(event),
      onFailure: () => metrics.increment('partition.hint-watch-failures'),
    });
  }

  static #isNewer(hint: OwnerHint, known: OwnerHint | undefined): boolean {
    if (!known || hint.epoch > known.epoch) return true;
    return hint.epoch === known.epoch && hint.handedOver && !known.handedOver;
  }

  #takeListing({ entries }: StoreListing): void {
    entries.forEach(({ value }) => this.#take(value));
  }

  #takeEvent(event: WatchEvent): void {
    switch (event.kind) {
      case 'put':
        this.#take(event.entry.value);
        break;
      case 'removed':
      case 'progress':
        break;
      // no default
    }
  }

  #take(value: string): void {
    const hint = parseWith(ownerHintSchema, value);
    if (hint) this.learn(hint);
    else this.#options.metrics.increment('partition.malformed-hints');
  }
}
