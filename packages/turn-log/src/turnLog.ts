import type { Logger } from '@limpetnotch/observability';
import type { Turn } from '@limpetnotch/peer-protocol';
import { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { detailOf } from './detailOf';
import type { SegmentFiles } from './segmentFiles';
import { segmentName, segmentSequence } from './segmentName';
import { SegmentWriter } from './segmentWriter';
import type { AppendedAt } from './segmentWriter';
import { TurnIndex } from './turnIndex';
import type { TurnLocation } from './turnIndex';
import type { TurnLogError } from './turnLogError';
import type { ScannedRecords } from './turnRecord';
import { decodeRecord, encodeRecord, scanRecords } from './turnRecord';

const DEFAULT_SEGMENT_BYTES = 8 * 1024 * 1024;

/** Bytes that one write and sync take at most, so that no append waits for a long write. */
const MAXIMUM_BATCH_BYTES = 2 * 1024 * 1024;

/** Time of day may jump; a segment is removed this much after its last turn has expired. */
const EXPIRY_MARGIN_MILLISECONDS = 10_000;

/** Options of {@link TurnLog.open}. */
export interface TurnLogOptions {
  readonly files: SegmentFiles;
  readonly logger: Logger;
  /** Bytes after which a new segment begins. */
  readonly segmentBytes?: number;
}

/** A turn that waits to be written. */
interface WaitingTurn {
  readonly turn: Turn;
  readonly record: Buffer;
  readonly written: Deferred<Result<void, TurnLogError>>;
}

const errorOf = (error: unknown): TurnLogError => {
  const isFull = error instanceof Error && 'code' in error && error.code === 'ENOSPC';
  return { kind: isFull ? 'disk-full' : 'disk-failed', detail: detailOf(error) };
};

/**
 * Turns on the disk of one instance. Records are appended to segments, all that wait with one sync,
 * and whole segments are removed when all their turns have expired. Each start begins a new
 * segment, so nothing is ever written behind a torn end.
 */
export class TurnLog {
  readonly #options: TurnLogOptions;

  readonly #writer: SegmentWriter;

  readonly #index = new TurnIndex();

  /** When the last turn of each segment expires, by the segment's sequence. */
  readonly #expiries: Map<number, number>;

  readonly #waiting: WaitingTurn[] = [];

  #writing: Promise<void> | undefined;

  #isClosed = false;

  private constructor(options: TurnLogOptions, sequences: readonly number[]) {
    this.#options = options;
    this.#expiries = new Map(sequences.map((sequence) => [sequence, -Infinity]));
    this.#writer = new SegmentWriter({
      files: options.files,
      logger: options.logger,
      segmentBytes: options.segmentBytes ?? DEFAULT_SEGMENT_BYTES,
      firstSequence: Math.max(0, ...sequences) + 1,
      onBegin: (sequence) => this.#expiries.set(sequence, -Infinity),
    });
  }

  /**
   * Opens the log and finds its turns. Damage is logged and costs no turn but those that it hits;
   * an error means that the disk can't be read at all.
   */
  static async open(options: TurnLogOptions): Promise<Result<TurnLog, TurnLogError>> {
    try {
      const names = await options.files.list();
      const sequences = names.flatMap((name) => segmentSequence(name) ?? []).sort((a, b) => a - b);
      const log = new TurnLog(options, sequences);
      for (const sequence of sequences) await log.#load(sequence);
      options.logger.info('turn-log.opened', { segments: sequences.length, turns: log.size });
      return ok(log);
    } catch (error) {
      return err(errorOf(error));
    }
  }

  /** Turns that are held. */
  get size(): number {
    return this.#index.size;
  }

  /** Segments on the disk. */
  get segments(): number {
    return this.#expiries.size;
  }

  /** Keeps a turn; resolves when it outlives a loss of power. */
  async append(turn: Turn): Promise<Result<void, TurnLogError>> {
    if (this.#isClosed) return err({ kind: 'closed' });
    if (this.#index.get(turn.organisation, turn.id)) return ok(undefined);
    const written = new Deferred<Result<void, TurnLogError>>();
    this.#waiting.push({ turn, record: encodeRecord(turn), written });
    this.#writing ??= this.#writeWaiting();
    return written.promise;
  }

  /** Returns a turn; undefined where the log holds none of that name. */
  async read(organisation: string, id: string): Promise<Result<Turn | undefined, TurnLogError>> {
    const location = this.#index.get(organisation, id);
    if (!location) return ok(undefined);
    const { segment, offset, length } = location;
    try {
      const bytes = await this.#options.files.read(segmentName(segment), offset, length);
      const turn = decodeRecord(bytes, 0)?.turn;
      if (turn?.organisation === organisation && turn.id === id) return ok(turn);
    } catch (error) {
      return err(errorOf(error));
    }
    this.#options.logger.error('turn-log.record-damaged', { turn: id, segment, offset });
    return err({ kind: 'damaged', detail: `segment ${segment} at ${offset}` });
  }

  /** Removes the segments whose turns have all expired; returns how many. */
  async removeExpired(nowMilliseconds: number): Promise<Result<number, TurnLogError>> {
    const expired = [...this.#expiries].filter(
      ([sequence, expiresAt]) =>
        sequence !== this.#writer.activeSequence &&
        expiresAt + EXPIRY_MARGIN_MILLISECONDS < nowMilliseconds,
    );
    try {
      for (const [sequence] of expired) {
        this.#expiries.delete(sequence);
        this.#index.deleteSegment(sequence);
        await this.#options.files.remove(segmentName(sequence));
      }
    } catch (error) {
      return err(errorOf(error));
    }
    if (expired.length > 0) {
      this.#options.logger.info('turn-log.expired', { segments: expired.length, turns: this.size });
    }
    return ok(expired.length);
  }

  /** Writes what waits, and closes the log. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#writing;
    await this.#writer.close();
  }

  async #load(sequence: number): Promise<void> {
    const { lostBytes, records } = await this.#scan(sequence);
    records.forEach(({ turn, offset, length }) =>
      this.#note(turn, { segment: sequence, offset, length }),
    );
    if (lostBytes === 0) return;
    const turns = records.length;
    this.#options.logger.warn('turn-log.bytes-lost', { segment: sequence, lostBytes, turns });
  }

  async #scan(sequence: number): Promise<ScannedRecords> {
    try {
      return scanRecords(await this.#options.files.readWhole(segmentName(sequence)));
    } catch (error) {
      const detail = detailOf(error);
      this.#options.logger.error('turn-log.segment-unreadable', { segment: sequence, detail });
      return { records: [], lostBytes: 0 };
    }
  }

  #note(turn: Turn, location: TurnLocation): void {
    const { segment } = location;
    const expiresAt = this.#expiries.get(segment) ?? -Infinity;
    this.#expiries.set(segment, Math.max(expiresAt, turn.expiresAtMilliseconds));
    this.#index.add(turn.organisation, turn.id, location);
  }

  async #writeWaiting(): Promise<void> {
    // Turns that are appended in this turn of the event loop go in the same write.
    await Promise.resolve();
    while (this.#waiting.length > 0) await this.#write(this.#takeBatch());
    this.#writing = undefined;
  }

  /** Takes what waits, up to the bytes of one write, and one turn at least. */
  #takeBatch(): readonly WaitingTurn[] {
    let bytes = 0;
    const end = this.#waiting.findIndex(({ record }, position) => {
      bytes += record.length;
      return position > 0 && bytes > MAXIMUM_BATCH_BYTES;
    });
    return this.#waiting.splice(0, end < 0 ? this.#waiting.length : end);
  }

  async #write(batch: readonly WaitingTurn[]): Promise<void> {
    const result = await this.#appendBatch(batch);
    batch.forEach(({ written }) => written.resolve(result));
  }

  async #appendBatch(batch: readonly WaitingTurn[]): Promise<Result<void, TurnLogError>> {
    try {
      const bytes = Buffer.concat(batch.map(({ record }) => record));
      const { segment, offset } = await this.#appendBytes(bytes);
      let position = offset;
      batch.forEach(({ turn, record }) => {
        this.#note(turn, { segment, offset: position, length: record.length });
        position += record.length;
      });
      return ok(undefined);
    } catch (error) {
      const failure = errorOf(error);
      this.#options.logger.error('turn-log.write-failed', { ...failure, turns: batch.length });
      return err(failure);
    }
  }

  /** A full disk may have room once expired segments are gone. */
  async #appendBytes(bytes: Buffer): Promise<AppendedAt> {
    try {
      return await this.#writer.append(bytes);
    } catch (error) {
      if (errorOf(error).kind !== 'disk-full') throw error;
      const removed = await this.removeExpired(Date.now());
      if (removed.unwrapOr(0) === 0) throw error;
      return this.#writer.append(bytes);
    }
  }
}
