import type { Logger } from '@limpetnotch/observability';
import { detailOf } from './detailOf';
import type { SegmentFile, SegmentFiles } from './segmentFiles';
import { segmentName } from './segmentName';

/** A segment to which records are appended. */
interface ActiveSegment {
  readonly sequence: number;
  readonly file: SegmentFile;
  bytes: number;
}

/** Where appended bytes begin. */
export interface AppendedAt {
  readonly segment: number;
  readonly offset: number;
}

/** Options of a {@link SegmentWriter}. */
export interface SegmentWriterOptions {
  readonly files: SegmentFiles;
  readonly logger: Logger;
  /** Bytes after which a new segment begins. */
  readonly segmentBytes: number;
  readonly firstSequence: number;
  /** Called when a segment has been created. */
  readonly onBegin: (sequence: number) => void;
}

/** Appends bytes to segments, one call at a time. */
export class SegmentWriter {
  readonly #options: SegmentWriterOptions;

  #nextSequence: number;

  #active: ActiveSegment | undefined;

  constructor(options: SegmentWriterOptions) {
    this.#options = options;
    this.#nextSequence = options.firstSequence;
  }

  /** Sequence of the segment that is written; undefined where the next append begins one. */
  get activeSequence(): number | undefined {
    return this.#active?.sequence;
  }

  /**
   * Appends bytes, and resolves when the disk holds them. After a failure what the segment holds is
   * unknown, so the next append begins a new one.
   */
  async append(bytes: Buffer): Promise<AppendedAt> {
    const active = await this.#activeFor(bytes.length);
    const at = { segment: active.sequence, offset: active.bytes };
    try {
      active.bytes += bytes.length;
      await active.file.append(bytes);
      await active.file.sync();
      return at;
    } catch (error) {
      await this.#end(active);
      throw error;
    }
  }

  async close(): Promise<void> {
    if (this.#active) await this.#end(this.#active);
  }

  async #activeFor(bytes: number): Promise<ActiveSegment> {
    const active = this.#active;
    if (active && active.bytes + bytes <= this.#options.segmentBytes) return active;
    if (active) await this.#end(active);
    this.#active = await this.#begin();
    return this.#active;
  }

  async #begin(): Promise<ActiveSegment> {
    const { files, onBegin } = this.#options;
    const sequence = this.#nextSequence;
    this.#nextSequence += 1;
    const file = await files.create(segmentName(sequence));
    onBegin(sequence);
    await files.syncDirectory();
    return { sequence, file, bytes: 0 };
  }

  async #end({ sequence, file }: ActiveSegment): Promise<void> {
    this.#active = undefined;
    try {
      await file.close();
    } catch (error) {
      const detail = detailOf(error);
      this.#options.logger.warn('turn-log.close-failed', { segment: sequence, detail });
    }
  }
}
