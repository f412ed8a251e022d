import type {
  CompareAndSwapOutcome,
  CompareAndSwapRequest,
  KeyValueStore,
  Lease,
  StoreEntry,
  StoreError,
  StoreListing,
  WatchEvent,
  WatchOptions,
} from '@limpetnotch/store';
import { Deferred, delay } from '@limpetnotch/supervision';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';

const LATE_WRITE_DELAY_MILLISECONDS = 400;
const READ_TIMEOUT_MILLISECONDS = 1_000;

const NO_ANSWER: StoreError = { kind: 'unavailable', detail: 'no answer' };

interface OpenWatch {
  readonly options: WatchOptions;
  readonly queue: WatchEvent[];
  wake: Deferred;
}

/** In-memory store with fault injection. */
export class MemoryStore implements KeyValueStore {
  readonly entries = new Map<string, StoreEntry>();

  readonly calls = { reads: 0, writes: 0, watches: 0 };

  outage = false;

  /** Watches stay open without delivering events. */
  silentWatches = false;

  /** Reads get no response and time out after a second. */
  silentReads = false;

  /** Whether the response to a write is lost after the write took effect. */
  losesAnswer: (request: CompareAndSwapRequest) => boolean = () => false;

  /** Whether a write fails without taking effect. */
  refusesWrite: (request: CompareAndSwapRequest) => boolean = () => false;

  /** Whether a write only takes effect after its caller got an error. */
  delaysWrite: (request: CompareAndSwapRequest) => boolean = () => false;

  /** Called before each write, to create races. */
  beforeWrite: (request: CompareAndSwapRequest) => Promise<void> = () => Promise.resolve();

  #revision = 0;

  readonly #watches = new Set<OpenWatch>();

  read(key: string): ResultAsync<StoreEntry | undefined, StoreError> {
    return this.#respond(() => this.entries.get(key));
  }

  list(prefix: string): ResultAsync<StoreListing, StoreError> {
    return this.#respond(() => ({
      entries: [...this.entries.values()].filter(({ key }) => key.startsWith(prefix)),
      revision: this.#revision,
    }));
  }

  compareAndSwap(request: CompareAndSwapRequest): ResultAsync<CompareAndSwapOutcome, StoreError> {
    return ResultAsync.fromSafePromise(this.beforeWrite(request)).andThen(() =>
      this.#swap(request),
    );
  }

  remove(key: string, expectedRevision: number): ResultAsync<boolean, StoreError> {
    return this.#respond(() => {
      if (this.entries.get(key)?.revision !== expectedRevision) return false;
      this.#revision += 1;
      this.entries.delete(key);
      this.#notifyWatches({ kind: 'removed', key, revision: this.#revision }, key);
      return true;
    });
  }

  /** Writes a value unconditionally. */
  put(key: string, value: string): void {
    this.#revision += 1;
    const entry = { key, value, revision: this.#revision };
    this.entries.set(key, entry);
    this.#notifyWatches({ kind: 'put', entry }, key);
  }

  grantLease(): ResultAsync<Lease, StoreError> {
    return errAsync({ kind: 'unavailable', detail: 'not simulated' });
  }

  renewLease(): ResultAsync<Lease, StoreError> {
    return this.grantLease();
  }

  revokeLease(): ResultAsync<void, StoreError> {
    return okAsync(undefined);
  }

  async *watch(options: WatchOptions): AsyncIterable<WatchEvent> {
    this.calls.watches += 1;
    if (this.outage) throw new Error('outage');
    const past = [...this.entries.values()]
      .filter(
        ({ key, revision }) => key.startsWith(options.prefix) && revision >= options.fromRevision,
      )
      .map((entry): WatchEvent => ({ kind: 'put', entry }));
    const watch: OpenWatch = { options, queue: past, wake: new Deferred() };
    this.#watches.add(watch);
    options.signal.addEventListener('abort', () => watch.wake.resolve(undefined));
    while (!options.signal.aborted) {
      const event = this.silentWatches ? undefined : watch.queue.shift();
      if (event) {
        yield event;
      } else {
        await watch.wake.promise;
        watch.wake = new Deferred();
      }
    }
    this.#watches.delete(watch);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #respond<Value>(compute: () => Value): ResultAsync<Value, StoreError> {
    this.calls.reads += 1;
    if (this.outage) return errAsync({ kind: 'unavailable', detail: 'outage' });
    if (this.silentReads) {
      const timeout = ResultAsync.fromSafePromise(delay(READ_TIMEOUT_MILLISECONDS));
      return timeout.andThen(() => errAsync<Value, StoreError>(NO_ANSWER));
    }
    return okAsync(compute());
  }

  #swap(request: CompareAndSwapRequest): ResultAsync<CompareAndSwapOutcome, StoreError> {
    this.calls.writes += 1;
    if (this.outage || this.refusesWrite(request)) {
      return errAsync({ kind: 'unavailable', detail: 'refused' });
    }
    if (this.delaysWrite(request)) {
      setTimeout(() => this.#swapEntry(request), LATE_WRITE_DELAY_MILLISECONDS);
      return errAsync({ kind: 'unknown-outcome', detail: 'late' });
    }
    const outcome = this.#swapEntry(request);
    if (this.losesAnswer(request)) return errAsync({ kind: 'unknown-outcome', detail: 'lost' });
    return okAsync(outcome);
  }

  #swapEntry(request: CompareAndSwapRequest): CompareAndSwapOutcome {
    const current = this.entries.get(request.key);
    const isExpected = (current?.revision ?? 0) === request.expectedRevision;
    if (isExpected) this.put(request.key, request.value);
    return isExpected
      ? { kind: 'swapped', revision: this.#revision }
      : { kind: 'conflict', current };
  }

  #notifyWatches(event: WatchEvent, key: string): void {
    for (const watch of this.#watches) {
      if (key.startsWith(watch.options.prefix)) {
        watch.queue.push(event);
        if (!this.silentWatches) watch.wake.resolve(undefined);
      }
    }
  }
}
