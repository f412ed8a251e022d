import type { KeyValueStore, WatchEvent } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import { ROOT_KEY } from '../format/configurationKeys';

/** Result of waiting for the watch; `quiet` after a timeout, or when the wake promise resolves. */
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

  /** Returns the store revision up to which the watch has reported all changes. */
  seenRevision(): number {
    return this.#seenRevision;
  }

  /**
   * Waits for the next event, until a timeout in milliseconds or until the wake promise resolves.
   */
  async next(timeoutMilliseconds: number, wake: Promise<unknown>): Promise<WatchStep> {
    this.#pending ??= this.#read();
    const controller = new AbortController();
    const toQuietStep = (): WatchStep => ({ kind: 'quiet' });
    try {
      const step = await Promise.race([
        this.#pending,
        wake.then(toQuietStep),
        delay(timeoutMilliseconds, controller.signal).then(toQuietStep),
      ]);
      if (step.kind !== 'quiet') this.#pending = undefined;
      return step;
    } finally {
      controller.abort();
    }
  }

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
      // The connection was lost; the caller reads the root again and starts a new watch.
      return { kind: 'ended' };
    }
  }
}
