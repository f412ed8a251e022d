import { Deferred, delay } from '@limpetnotch/supervision';
import type { ViewCursor } from './decisions/prefixView';
import type { ObservedPrefix } from './observedPrefix';
import type { KnownPrefix, PrefixUpdate, RelayMessage } from './relayMessage';

/** Changes within this time are relayed together. */
const BATCH_MILLISECONDS = 50;

/**
 * Further delay of a confirmation without a change. With the longest wait of a reader's watch it
 * stays below the age up to which followers trust what they know.
 */
const CONFIRMATION_DELAY_MILLISECONDS = 200;

/** Longest time between two messages, by which a follower knows that the reader is there. */
const HEARTBEAT_MILLISECONDS = 700;

/** Parts of a {@link StoreRelay}. */
export interface StoreRelayParts {
  readonly prefixes: ReadonlyMap<string, ObservedPrefix>;
  /** Whether this instance reads all prefixes itself. */
  readonly isReading: () => boolean;
}

/** Relays what this instance reads to its followers. */
export class StoreRelay {
  readonly #parts: StoreRelayParts;

  #changed = new Deferred<'changed'>();

  #confirmed = new Deferred<'confirmed'>();

  constructor(parts: StoreRelayParts) {
    this.#parts = parts;
  }

  /** Records that there may be a change to relay, or that the relaying has to end. */
  notifyChange(): void {
    this.#changed.resolve('changed');
    this.#changed = new Deferred();
  }

  /** Records that the store confirmed what is known. */
  notifyConfirmation(): void {
    this.#confirmed.resolve('confirmed');
    this.#confirmed = new Deferred();
  }

  /** Yields messages to one follower until the signal aborts or this instance no longer reads. */
  async *relay(
    known: readonly KnownPrefix[],
    signal: AbortSignal,
  ): AsyncGenerator<RelayMessage, void, undefined> {
    const startedAtMilliseconds = performance.now();
    const cursors = new Map<string, ViewCursor>(
      known.map(({ prefix, revision }) => [prefix, { kind: 'revision', revision }]),
    );
    while (!signal.aborted && this.#parts.isReading()) {
      const changed = this.#changed.promise;
      const confirmed = this.#confirmed.promise;
      const updates = this.#takeUpdates(cursors);
      const elapsedMilliseconds = Math.floor(performance.now() - startedAtMilliseconds);
      yield { elapsedMilliseconds, updates };
      await this.#waitForNews(changed, confirmed, signal);
    }
  }

  async #waitForNews(
    changed: Promise<'changed'>,
    confirmed: Promise<'confirmed'>,
    signal: AbortSignal,
  ): Promise<void> {
    const waiting = new AbortController();
    const abort = (): void => waiting.abort();
    signal.addEventListener('abort', abort, { once: true });
    const heartbeat = delay(HEARTBEAT_MILLISECONDS, waiting.signal);
    const news = await Promise.race([changed, confirmed, heartbeat]);
    if (news === 'confirmed') {
      await Promise.race([changed, delay(CONFIRMATION_DELAY_MILLISECONDS, waiting.signal)]);
    }
    if (news !== undefined) await delay(BATCH_MILLISECONDS, waiting.signal);
    abort();
    signal.removeEventListener('abort', abort);
  }

  #takeUpdates(cursors: Map<string, ViewCursor>): readonly PrefixUpdate[] {
    return [...cursors].flatMap(([prefix, cursor]) => {
      const observed = this.#parts.prefixes.get(prefix);
      if (!observed) return [];
      const { isComplete, changes } = observed.view.changesSince(cursor);
      cursors.set(prefix, observed.view.cursor);
      const { revision } = observed.view;
      const ageMilliseconds = Math.ceil(observed.ageMilliseconds);
      const { lastLoss } = observed;
      return [{ prefix, isComplete, changes, revision, ageMilliseconds, ...lastLoss }];
    });
  }
}
