import type {
  KeyValueStore,
  StoreEntry,
  StoreError,
  StoreListing,
  WatchEvent,
  WatchOptions,
} from '@limpetnotch/store';
import { WatchError } from '@limpetnotch/store';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';
import type { LinkState } from './linkState';

const ANSWER_MILLISECONDS = 2;
const LIST_TIMEOUT_MILLISECONDS = 1_500;
const RESPONSE_MARGIN_MILLISECONDS = 500;
const HISTORY_MILLISECONDS = 20_000;

/** A change that the store has committed. */
export interface Commit {
  readonly atMilliseconds: number;
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** A store in memory, whose clients reach it over links that may be cut. */
export class SimulatedStore {
  readonly commits: Commit[] = [];

  readonly #entries = new Map<string, StoreEntry>();

  #revision = 1;

  #changed = new Deferred();

  /** Number of calls by client. */
  readonly calls = new Map<string, number>();

  /** Whether watches report only that they were cut. */
  readonly cutWatches = new Set<AbortController>();

  read(key: string): string | undefined {
    return this.#entries.get(key)?.value;
  }

  write(key: string, value: string | undefined): void {
    this.#revision += 1;
    const revision = this.#revision;
    if (value === undefined) this.#entries.delete(key);
    else this.#entries.set(key, { key, value, revision });
    this.commits.push({ atMilliseconds: performance.now(), key, value, revision });
    this.#changed.resolve(undefined);
    this.#changed = new Deferred();
  }

  /** Ends all watches that are under way with an error. */
  cutAllWatches(): void {
    this.cutWatches.forEach((cut) => cut.abort());
    this.cutWatches.clear();
  }

  createClient(name: string, link: () => LinkState): KeyValueStore {
    const unsupported = (): never => {
      throw new Error('not simulated');
    };
    return {
      list: (prefix) => new ResultAsync(this.#list(name, prefix, link)),
      watch: (options) => this.#watch(name, options, link),
      read: unsupported,
      compareAndSwap: unsupported,
      remove: unsupported,
      grantLease: unsupported,
      renewLease: unsupported,
      revokeLease: unsupported,
      close: async () => undefined,
    };
  }

  #count(name: string): void {
    this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
  }

  async #list(
    name: string,
    prefix: string,
    link: () => LinkState,
  ): Promise<Result<StoreListing, StoreError>> {
    this.#count(name);
    const fail = (): Result<StoreListing, StoreError> =>
      err({ kind: 'unavailable', detail: 'cut' });
    await delay(ANSWER_MILLISECONDS);
    if (link() === 'refused') return fail();
    const isReceived = link() === 'up';
    const entries = [...this.#entries.values()].filter(({ key }) => key.startsWith(prefix));
    const listing = { entries, revision: this.#revision };
    await delay(ANSWER_MILLISECONDS);
    if (isReceived && link() === 'up') return ok(listing);
    await delay(LIST_TIMEOUT_MILLISECONDS);
    return fail();
  }

  async *#watch(
    name: string,
    { prefix, fromRevision, signal, silenceMilliseconds = 3_000 }: WatchOptions,
    link: () => LinkState,
  ): AsyncGenerator<WatchEvent> {
    let after = fromRevision - 1;
    while (!signal.aborted) {
      this.#count(name);
      const startedAt = performance.now();
      await delay(ANSWER_MILLISECONDS, signal);
      if (link() === 'refused') throw new WatchError('lost', 'refused');
      const isReceived = link() === 'up';
      const until = startedAt + silenceMilliseconds - RESPONSE_MARGIN_MILLISECONDS;
      const isCut = isReceived && (await this.#waitForChange(prefix, after, until, signal));
      if (signal.aborted) return;
      if (isCut) throw new WatchError('lost', 'cut');
      const events = this.#commitsAfter(prefix, after);
      const revision = this.#revision;
      const isCompacted = this.#isCompacted(after);
      await delay(ANSWER_MILLISECONDS, signal);
      if (!isReceived || link() !== 'up') {
        await delay(startedAt + silenceMilliseconds - performance.now(), signal);
        if (signal.aborted) return;
        throw new WatchError('lost', 'silent');
      }
      if (signal.aborted) return;
      if (isCompacted) throw new WatchError('compacted', 'compacted');
      yield* events.map(({ key, value, revision: at }): WatchEvent =>
        value === undefined
          ? { kind: 'removed', key, revision: at }
          : { kind: 'put', entry: { key, value, revision: at } },
      );
      after = revision;
      yield { kind: 'progress', revision };
    }
  }

  /** Waits for a change of the prefix; returns whether the watch was cut meanwhile. */
  async #waitForChange(
    prefix: string,
    after: number,
    until: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const cut = new AbortController();
    this.cutWatches.add(cut);
    const waiting = AbortSignal.any([signal, cut.signal]);
    while (
      this.#commitsAfter(prefix, after).length === 0 &&
      !this.#isCompacted(after) &&
      performance.now() < until &&
      !waiting.aborted
    ) {
      await Promise.race([this.#changed.promise, delay(until - performance.now(), waiting)]);
    }
    this.cutWatches.delete(cut);
    return cut.signal.aborted;
  }

  #commitsAfter(prefix: string, after: number): readonly Commit[] {
    const from = this.commits.findLastIndex(({ revision }) => revision <= after) + 1;
    return this.commits.slice(from).filter(({ key }) => key.startsWith(prefix));
  }

  #isCompacted(after: number): boolean {
    const next = this.commits.find(({ revision }) => revision > after);
    return next !== undefined && performance.now() - next.atMilliseconds > HISTORY_MILLISECONDS;
  }
}
