import type { KeyValueStore, WatchEvent } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import { ROOT_KEY } from '../format/configurationKeys';

/** What a wait for the watch gave; `quiet` after a time without any event, or when woken. */
export type WatchStep =
  | { readonly kind: 'event'; readonly event: WatchEvent }
  | { readonly kind: 'quiet' }
  | { readonly kind: 'ended' };

/** One watch on the root key. */
export class RootWatch {
  readonly #controller = new AbortController();

  readonly #events: AsyncIterator<WatchEvent>;

  #pending: Promise<WatchStep> | undefined;

  #seenRevision: number;

  constructor(store: KeyValueStore, afterRevision: number) {
    this.#seenRevision = afterRevision;
    const options = {
      prefix: ROOT_KEY,
      fromRevision: afterRevision + 1,
      signal: this.#controller.signal,
    };
    this.#events = store.watch(options)[Symbol.asyncIterator]();
  }

  /** Returns the store's revision up to which the watch has told all. */
  seenRevision(): number {
    return this.#seenRevision;
  }

  /** Waits for the next event, at most for a time in milliseconds or until a promise resolves. */
  async next(milliseconds: number, woken: Promise<unknown>): Promise<WatchStep> {
    this.#pending ??= this.#read();
    const controller = new AbortController();
    const quiet = (): WatchStep => ({ kind: 'quiet' });
    try {
      const step = await Promise.race([
        this.#pending,
        woken.then(quiet),
        delay(milliseconds, controller.signal).then(quiet),
      ]);
      if (step.kind !== 'quiet') this.#pending = undefined;
      return step;
    } finally {
      controller.abort();
    }
  }

  /** Ends the watch. */
  close(): void {
    this.#controller.abort();
  }

  async #read(): Promise<WatchStep> {
    try {
      const { done, value } = await this.#events.next();
      if (done) return { kind: 'ended' };
      const revision = value.kind === 'put' ? value.entry.revision : value.revision;
      this.#seenRevision = Math.max(this.#seenRevision, revision);
      return { kind: 'event', event: value };
    } catch {
      // A lost connection: the root is read again and a new watch begins.
      return { kind: 'ended' };
    }
  }
}
