import { Deferred, delay } from '@limpetnotch/supervision';
import type { ViewCursor } from './decisions/prefixView';
import type { ObservedPrefix } from './observedPrefix';
import type { KnownPrefix, PrefixUpdate, RelayMessage } from './relayMessage';

/** Changes within this time are relayed together. */
const BATCH_MILLISECONDS = 50;

/** Longest time between two messages, by which a follower knows that the reader is there. */
const HEARTBEAT_MILLISECONDS = 500;

/** Parts of a {@link StoreRelay}. */
export interface StoreRelayParts {
  readonly prefixes: ReadonlyMap<string, ObservedPrefix>;
  /** Whether this instance reads all prefixes itself. */
  readonly isReading: () => boolean;
}

/** Relays what this instance reads to its followers. */
export class StoreRelay {
  readonly #parts: StoreRelayParts;

  #changed = new Deferred();

  constructor(parts: StoreRelayParts) {
    this.#parts = parts;
  }

  /** Records that there may be something to relay, or that the relaying has to end. */
  notify(): void {
    this.#changed.resolve(undefined);
    this.#changed = new Deferred();
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
    const ended = new Deferred();
    const end = (): void => ended.resolve(undefined);
    signal.addEventListener('abort', end, { once: true });
    try {
      while (!signal.aborted && this.#parts.isReading()) {
        const changed = this.#changed.promise;
        const updates = this.#takeUpdates(cursors);
        const elapsedMilliseconds = Math.floor(performance.now() - startedAtMilliseconds);
        yield { elapsedMilliseconds, updates };
        const waiting = new AbortController();
        const heartbeat = delay(HEARTBEAT_MILLISECONDS, waiting.signal);
        await Promise.race([changed, heartbeat, ended.promise]);
        waiting.abort();
        if (!signal.aborted) await delay(BATCH_MILLISECONDS);
      }
    } finally {
      signal.removeEventListener('abort', end);
    }
  }

  #takeUpdates(cursors: Map<string, ViewCursor>): readonly PrefixUpdate[] {
    return [...cursors].flatMap(([prefix, cursor]) => {
      const observed = this.#parts.prefixes.get(prefix);
      if (!observed) return [];
      const { isComplete, changes } = observed.view.changesSince(cursor);
      cursors.set(prefix, observed.view.cursor);
      const { revision } = observed.view;
      const ageMilliseconds = Math.ceil(observed.ageMilliseconds);
      return [{ prefix, isComplete, changes, revision, ageMilliseconds }];
    });
  }
}
