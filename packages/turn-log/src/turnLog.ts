import type { Logger } from '@limpetnotch/observability';
import { toBinary } from '@bufbuild/protobuf';
import type { Turn } from '@limpetnotch/peer-protocol';
import { TurnSchema } from '@limpetnotch/peer-protocol';
import { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { getErrorMessage } from './getErrorMessage';
import type { SegmentFiles } from './segmentFiles';
import { segmentName, segmentSequence } from './segmentName';
import { SegmentWriter } from './segmentWriter';
import type { AppendPosition } from './segmentWriter';
import { TurnIndex } from './turnIndex';
import type { IndexedTurn } from './turnIndex';
import type { TurnLogError } from './turnLogError';
import type { ScannedRecords } from './turnRecord';
import { computeRecordBytes, decodeRecord, encodeRecord, scanRecords } from './turnRecord';

const DEFAULT_SEGMENT_BYTES = 8 * 1024 * 1024;

/** Maximum size of one write and sync, which bounds how long an append waits for it. */
const MAXIMUM_BATCH_BYTES = 2 * 1024 * 1024;

/** Delay between the expiry of the last turn of a segment and its removal, as the clock may jump. */
const EXPIRY_MARGIN_MILLISECONDS = 10_000;

/** Options of {@link TurnLog.open}. */
export interface TurnLogOptions {
  readonly files: SegmentFiles;
  readonly logger: Logger;
  /** Maximum size of a segment, 8 MiB by default; an append that exceeds it starts a new segment. */
  readonly segmentBytes?: number;
  /**
   * Delay between the expiry of the last turn of a segment and its removal, 10 s by default; on a full
   * disk it is 10 s.
   */
  readonly expiryMarginMilliseconds?: number;
  /** Called when the record of a stored turn turned out to be unreadable. */
  readonly onDamage?: () => void;
}

/** A turn that is waiting to be written. */
interface PendingTurn {
  readonly turn: Turn;
  readonly payload: Uint8Array;
  /** Bytes of the record. */
  readonly length: number;
  readonly written: Deferred<Result<void, TurnLogError>>;
}

const toTurnLogError = (error: unknown): TurnLogError => {
  const isFull = error instanceof Error && 'code' in error && error.code === 'ENOSPC';
  return { kind: isFull ? 'disk-full' : 'disk-failed', detail: getErrorMessage(error) };
};

/**
 * Stores turns on the disk of one instance. Records are appended to segments, pending records in
 * batches with one sync each, and a segment is removed as a whole when all its turns have expired.
 * Each start creates a new segment, so that nothing is ever written after a torn end.
 */
export class TurnLog {
  readonly #options: TurnLogOptions;

  readonly #writer: SegmentWriter;

  readonly #index = new TurnIndex({
    onLifetime: (segment, expiresAt) => this.#extendSegment(segment, expiresAt),
  });

  /** When the last turn of each segment expires, by the segment's sequence. */
  readonly #segmentExpiries: Map<number, number>;

  readonly #pendingTurns: PendingTurn[] = [];

  #writing: Promise<void> | undefined;

  #isClosed = false;

  #hasLostRecords = false;

  private constructor(options: TurnLogOptions, sequences: readonly number[]) {
    this.#options = options;
    this.#segmentExpiries = new Map(sequences.map((sequence) => [sequence, -Infinity]));
    this.#writer = new SegmentWriter({
      files: options.files,
      logger: options.logger,
      segmentBytes: options.segmentBytes ?? DEFAULT_SEGMENT_BYTES,
      firstSequence: Math.max(0, ...sequences) + 1,
      onSegmentCreated: (sequence) => this.#segmentExpiries.set(sequence, -Infinity),
    });
  }

  /**
   * Opens the log and indexes its turns. Damage is logged and loses only the affected turns; an error
   * means that the directory of the log cannot be read.
   */
  static async open(options: TurnLogOptions): Promise<Result<TurnLog, TurnLogError>> {
    try {
      const names = await options.files.list();
      const sequences = names.flatMap((name) => segmentSequence(name) ?? []).sort((a, b) => a - b);
      const log = new TurnLog(options, sequences);
      for (const sequence of sequences) await log.#loadSegment(sequence);
      options.logger.info('turn-log.opened', { segments: sequences.length, turns: log.size });
      return ok(log);
    } catch (error) {
      return err(toTurnLogError(error));
    }
  }

  /** Number of stored turns. */
  get size(): number {
    return this.#index.size;
  }

  /**
   * Whether stored records were lost: bytes that had been durable were unreadable when the log was
   * opened, or since.
   */
  get hasLostRecords(): boolean {
    return this.#hasLostRecords;
  }

  /** Parents that stored turns continue but that are not stored here. */
  get missingParents(): readonly (readonly [organisation: string, id: string])[] {
    return this.#index.missingParents;
  }

  /** Stops reporting a missing parent. */
  forgetMissingParent(organisation: string, id: string): void {
    this.#index.forgetMissingParent(organisation, id);
  }

  /** Whether the log has a turn. */
  has(organisation: string, id: string): boolean {
    return this.#index.get(organisation, id) !== undefined;
  }

  /** Returns turns that have not expired, in the order of their addition, after an ordinal. */
  *listAfter(ordinal: number, nowMilliseconds: number): Generator<IndexedTurn> {
    for (const turn of this.#index.listAfter(ordinal)) {
      if (this.#index.getLifetime(turn.organisation, turn.id) > nowMilliseconds) yield turn;
    }
  }

  /** Returns the bytes of the record of a turn; 0 if it is not stored. */
  getRecordBytes(organisation: string, id: string): number {
    return this.#index.get(organisation, id)?.location.length ?? 0;
  }

  /** Number of segments on the disk. */
  get segments(): number {
    return this.#segmentExpiries.size;
  }

  /** Stores a turn; resolves when it is durable, that is, survives a power loss. */
  async append(turn: Turn): Promise<Result<void, TurnLogError>> {
    if (this.#isClosed) return err({ kind: 'closed' });
    if (this.has(turn.organisation, turn.id)) {
      this.#index.extend(turn.organisation, turn.id, turn.expiresAtMilliseconds);
      return ok(undefined);
    }
    const written = new Deferred<Result<void, TurnLogError>>();
    const payload = toBinary(TurnSchema, turn);
    this.#pendingTurns.push({ turn, payload, length: computeRecordBytes(payload), written });
    this.#writing ??= this.#writePendingTurns();
    return written.promise;
  }

  /**
   * Returns a turn, with its lifetime as extended by its descendants; `undefined` if the log has no
   * turn with that id. A turn whose record is damaged is removed, so that it can be stored again.
   */
  async read(organisation: string, id: string): Promise<Result<Turn | undefined, TurnLogError>> {
    const location = this.#index.get(organisation, id)?.location;
    if (!location) return ok(undefined);
    const { segment, offset, length } = location;
    try {
      const bytes = await this.#options.files.read(segmentName(segment), offset, length);
      const turn = decodeRecord(bytes, 0)?.turn;
      if (turn?.organisation === organisation && turn.id === id) return ok(this.#extend(turn));
    } catch (error) {
      // The segment may have expired in the meantime.
      if (!this.#segmentExpiries.has(segment)) return ok(undefined);
      return err(toTurnLogError(error));
    }
    if (!this.#segmentExpiries.has(segment)) return ok(undefined);
    this.#options.logger.error('turn-log.record-damaged', { turn: id, segment, offset });
    if (this.#index.get(organisation, id)?.location === location) {
      this.#index.delete(organisation, id);
    }
    this.#hasLostRecords = true;
    this.#options.onDamage?.();
    return err({ kind: 'damaged', detail: `segment ${segment} at ${offset}` });
  }

  /** Removes the segments whose turns have all expired; returns the number of removed segments. */
  removeExpired(nowMilliseconds: number): Promise<Result<number, TurnLogError>> {
    const { expiryMarginMilliseconds = EXPIRY_MARGIN_MILLISECONDS } = this.#options;
    return this.#removeEndedBefore(nowMilliseconds - expiryMarginMilliseconds);
  }

  /** Writes the pending turns, and closes the log. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#writing;
    await this.#writer.close();
  }

  async #loadSegment(sequence: number): Promise<void> {
    const { lostBytes, damagedBytes, records } = await this.#scanSegment(sequence);
    records.forEach(({ turn, offset, length }) =>
      this.#index.add(turn, { segment: sequence, offset, length }),
    );
    if (lostBytes === 0) return;
    this.#hasLostRecords ||= damagedBytes > 0;
    const fields = { segment: sequence, lostBytes, damagedBytes, turns: records.length };
    this.#options.logger.warn('turn-log.bytes-lost', fields);
  }

  async #scanSegment(sequence: number): Promise<ScannedRecords> {
    try {
      return scanRecords(await this.#options.files.readAll(segmentName(sequence)));
    } catch (error) {
      const detail = getErrorMessage(error);
      this.#options.logger.error('turn-log.segment-unreadable', { segment: sequence, detail });
      this.#hasLostRecords = true;
      return { records: [], lostBytes: 0, damagedBytes: 0 };
    }
  }

  #extend(turn: Turn): Turn {
    const lifetime = this.#index.getLifetime(turn.organisation, turn.id);
    return Object.assign(turn, {
      expiresAtMilliseconds: Math.max(lifetime, turn.expiresAtMilliseconds),
    });
  }

  #extendSegment(segment: number, expiresAtMilliseconds: number): void {
    const expiresAt = this.#segmentExpiries.get(segment) ?? -Infinity;
    this.#segmentExpiries.set(segment, Math.max(expiresAt, expiresAtMilliseconds));
  }

  async #removeEndedBefore(milliseconds: number): Promise<Result<number, TurnLogError>> {
    const expired = [...this.#segmentExpiries].filter(
      ([sequence, expiresAt]) =>
        sequence !== this.#writer.activeSequence && expiresAt < milliseconds,
    );
    try {
      for (const [sequence] of expired) {
        this.#segmentExpiries.delete(sequence);
        this.#index.deleteSegment(sequence);
        await this.#options.files.remove(segmentName(sequence));
      }
    } catch (error) {
      return err(toTurnLogError(error));
    }
    this.#index.deleteLifetimes(milliseconds);
    if (expired.length > 0) {
      this.#options.logger.info('turn-log.expired', { segments: expired.length, turns: this.size });
    }
    return ok(expired.length);
  }

  async #writePendingTurns(): Promise<void> {
    // Turns that are appended in the current iteration of the event loop share one write.
    await Promise.resolve();
    while (this.#pendingTurns.length > 0) await this.#write(this.#dequeueBatch());
    this.#writing = undefined;
  }

  /** Dequeues pending turns up to the size of one write, but at least one turn. */
  #dequeueBatch(): readonly PendingTurn[] {
    let bytes = 0;
    const end = this.#pendingTurns.findIndex(({ length }, position) => {
      bytes += length;
      return position > 0 && bytes > MAXIMUM_BATCH_BYTES;
    });
    return this.#pendingTurns.splice(0, end < 0 ? this.#pendingTurns.length : end);
  }

  async #write(batch: readonly PendingTurn[]): Promise<void> {
    const result = await this.#appendBatch(batch);
    batch.forEach(({ written }) => written.resolve(result));
  }

  async #appendBatch(batch: readonly PendingTurn[]): Promise<Result<void, TurnLogError>> {
    try {
      const { segment, offset } = await this.#appendRecords(batch);
      let position = offset;
      batch.forEach(({ turn, length }) => {
        this.#index.add(turn, { segment, offset: position, length });
        position += length;
      });
      return ok(undefined);
    } catch (error) {
      const failure = toTurnLogError(error);
      this.#options.logger.error('turn-log.write-failed', { ...failure, turns: batch.length });
      return err(failure);
    }
  }

  /** Retries once on a full disk if removing expired segments may have freed space. */
  async #appendRecords(batch: readonly PendingTurn[]): Promise<AppendPosition> {
    const bytes = batch.reduce((sum, { length }) => sum + length, 0);
    const encode = (durableBytes: number): Buffer =>
      Buffer.concat(batch.map(({ payload }) => encodeRecord(payload, durableBytes)));
    try {
      return await this.#writer.append(bytes, encode);
    } catch (error) {
      if (toTurnLogError(error).kind !== 'disk-full') throw error;
      const removed = await this.#removeEndedBefore(Date.now() - EXPIRY_MARGIN_MILLISECONDS);
      if (removed.unwrapOr(0) === 0) throw error;
      return this.#writer.append(bytes, encode);
    }
  }
}
