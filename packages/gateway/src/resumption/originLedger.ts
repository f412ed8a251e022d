import type { Logger, Metrics } from '@limpetnotch/observability';
import type { BatchStore, StoreError } from '@limpetnotch/store';
import { boundStoreCall, MAXIMUM_PUTS } from '@limpetnotch/store';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay, WakeSignal } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import type { BegunStream } from './begunStream';
import type { ServiceVersions } from './serviceVersions';
import type { StoredOrigin } from './storedOrigin';
import { parseStoredOrigin, toOriginKey } from './storedOrigin';
import type { StreamOrigin } from './streamOrigin';

/** A slow store responds within 250 ms. */
const STORE_CALL_TIMEOUT_MILLISECONDS = 1_000;

const RETRY_DELAY_MILLISECONDS = 500;

/** Writes a second of all instances together; the platform's store accepts 400 of all kinds. */
const FLEET_WRITES_PER_SECOND = 100;

const SHORTEST_INTERVAL_MILLISECONDS = 100;

/** Streams that begin within this time are written together. */
const BATCH_DELAY_MILLISECONDS = 20;

/** Writes that may follow each other at once after a pause, so that few streams are not yet stored. */
const BURST_WRITES = 5;

const MILLISECONDS_PER_SECOND = 1_000;

/** Maximum number of streams under way whose origins are kept; the oldest are dropped. */
const MAXIMUM_STREAMS = 16_384;

/** Longest lease that the platform's store grants. */
const MAXIMUM_LEASE_MILLISECONDS = 600_000;

/** Windows of streams that one lease covers, so that a lease is granted once a window. */
const WINDOWS_PER_LEASE = 2;

/** A stream under way whose origin is not in the store. */
interface UnwrittenStream {
  readonly origin: StoredOrigin;
  readonly endsAtMilliseconds: number;
  readonly windowMilliseconds: number;
}

type Batch = readonly (readonly [string, UnwrittenStream])[];

/** Dependencies of an {@link OriginLedger}. */
export interface OriginLedgerParts {
  readonly store: Pick<BatchStore, 'read' | 'grantLease' | 'putAll'>;
  readonly versions: Pick<ServiceVersions, 'hasSeveral'>;
  /** Returns the number of instances that write to the store. */
  readonly instanceCount: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * The origins of streams in the store, where they outlive any number of instances. They are written
 * only while targets of several versions serve or have served within the life of a stream: until
 * then an unknown origin can only be that one version. When a second version joins, the origins of
 * the streams under way are written, too.
 */
export class OriginLedger {
  readonly #parts: OriginLedgerParts;

  /** By key in the store, whose length is bounded, unlike that of a stream's key. */
  readonly #unwritten = new Map<string, UnwrittenStream>();

  #lease: { readonly leaseId: string; readonly endsAtMilliseconds: number } | undefined;

  /** Time of the next write if all came at their interval. */
  #nextRegularWriteMilliseconds = -Infinity;

  readonly #wakeSignal = new WakeSignal();

  constructor(parts: OriginLedgerParts) {
    this.#parts = parts;
  }

  /** Task that writes origins, retrying until the store has accepted them. */
  get task(): ChildSpecification {
    return { name: 'origins', restart: 'always', run: (context) => this.#run(context) };
  }

  /** Records the origin of a stream that this instance has begun or goes on with. */
  record(stream: BegunStream): void {
    const { streamKey, origin, remainingMilliseconds, windowMilliseconds } = stream;
    const { service, version } = origin;
    if (windowMilliseconds === undefined || version === undefined) return;
    const key = toOriginKey(streamKey);
    const unwritten = {
      origin: { service, version },
      endsAtMilliseconds: performance.now() + remainingMilliseconds,
      windowMilliseconds,
    };
    this.#unwritten.delete(key);
    this.#unwritten.set(key, unwritten);
    this.#dropOldest();
    if (this.#mustWrite(unwritten)) this.wake();
  }

  /** Writes what has to be written, after a change of the announced targets. */
  wake(): void {
    this.#wakeSignal.wake();
  }

  /** Returns the stored origin of a stream; undefined if there is none or the store doesn't respond. */
  async find(streamKey: string): Promise<StreamOrigin | undefined> {
    const key = toOriginKey(streamKey);
    const read = await boundStoreCall(this.#parts.store.read(key), STORE_CALL_TIMEOUT_MILLISECONDS);
    if (read.isErr()) {
      this.#parts.logger.info('origins.unread', { key, detail: read.error.detail });
      return undefined;
    }
    const entry = read.value;
    const origin = entry && parseStoredOrigin(entry);
    if (entry && !origin) this.#parts.logger.warn('origins.unreadable', { key });
    return origin;
  }

  /** Drops streams that have ended, and those beyond the bound. */
  #dropOldest(): void {
    const now = performance.now();
    for (const [key, { endsAtMilliseconds }] of this.#unwritten) {
      if (endsAtMilliseconds > now && this.#unwritten.size <= MAXIMUM_STREAMS) return;
      this.#unwritten.delete(key);
    }
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      const batch = this.#chooseBatch();
      if (batch.length > 0) {
        const hasWritten = await this.#write(batch);
        await delay(hasWritten ? this.#countWrite() : RETRY_DELAY_MILLISECONDS, signal);
      } else {
        await this.#wakeSignal.wait(signal);
        await delay(BATCH_DELAY_MILLISECONDS, signal);
      }
    }
  }

  /** Counts a write; returns the time until the next one. */
  #countWrite(): number {
    const now = performance.now();
    const interval = this.#intervalMilliseconds;
    this.#nextRegularWriteMilliseconds =
      Math.max(now, this.#nextRegularWriteMilliseconds) + interval;
    const ahead = this.#nextRegularWriteMilliseconds - now - (BURST_WRITES - 1) * interval;
    return Math.max(BATCH_DELAY_MILLISECONDS, ahead);
  }

  /** Interval of the writes of one instance, with which those of all stay within their bound. */
  get #intervalMilliseconds(): number {
    const shareMilliseconds = MILLISECONDS_PER_SECOND / FLEET_WRITES_PER_SECOND;
    return Math.max(
      SHORTEST_INTERVAL_MILLISECONDS,
      this.#parts.instanceCount() * shareMilliseconds,
    );
  }

  /** Whether targets of several versions serve or have served within the window of a stream. */
  #mustWrite({ origin, windowMilliseconds }: UnwrittenStream): boolean {
    return this.#parts.versions.hasSeveral(origin.service, windowMilliseconds);
  }

  /** Returns streams under way that must be written, those that began first. */
  #chooseBatch(): Batch {
    const now = performance.now();
    const batch: [string, UnwrittenStream][] = [];
    for (const [key, stream] of this.#unwritten) {
      if (stream.endsAtMilliseconds <= now) this.#unwritten.delete(key);
      else if (this.#mustWrite(stream)) batch.push([key, stream]);
      if (batch.length === MAXIMUM_PUTS) break;
    }
    return batch;
  }

  /** Writes a batch; returns whether the store has accepted it. */
  async #write(batch: Batch): Promise<boolean> {
    const { store, logger, metrics } = this.#parts;
    const puts = batch.map(([key, { origin }]) => ({
      key,
      value: JSON.stringify(origin),
    }));
    const lease = await this.#holdLease(batch);
    const written = await lease.asyncAndThen((leaseId) =>
      boundStoreCall(store.putAll(puts, leaseId), STORE_CALL_TIMEOUT_MILLISECONDS),
    );
    metrics.increment('origins.writes', 1, {
      outcome: written.isOk() ? 'done' : written.error.kind,
    });
    if (written.isErr()) {
      if (written.error.kind === 'lease-ended') this.#lease = undefined;
      logger.info('origins.not-written', { streams: batch.length, detail: written.error.detail });
      return false;
    }
    batch.forEach(([key, stream]) => {
      // The stream may have been recorded again in the meantime.
      if (this.#unwritten.get(key) === stream) this.#unwritten.delete(key);
    });
    return true;
  }

  /** Returns a lease that lasts as long as the streams of a batch may be resumed. */
  async #holdLease(batch: Batch): Promise<Result<string, StoreError>> {
    const windows = batch.map(([, { windowMilliseconds }]) => windowMilliseconds);
    const neededMilliseconds = Math.min(
      Math.max(...windows),
      MAXIMUM_LEASE_MILLISECONDS / WINDOWS_PER_LEASE,
    );
    const now = performance.now();
    if (this.#lease && this.#lease.endsAtMilliseconds - now >= neededMilliseconds) {
      return ok(this.#lease.leaseId);
    }
    const granted = await boundStoreCall(
      this.#parts.store.grantLease(WINDOWS_PER_LEASE * neededMilliseconds),
      STORE_CALL_TIMEOUT_MILLISECONDS,
    );
    return granted.map(({ leaseId, timeToLiveMilliseconds }) => {
      this.#lease = { leaseId, endsAtMilliseconds: now + timeToLiveMilliseconds };
      return leaseId;
    });
  }
}
