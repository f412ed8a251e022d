import type { Logger } from '@limpetnotch/observability';
import { getErrorMessage } from './getErrorMessage';
import type { SegmentFile, SegmentFiles } from './segmentFiles';
import { segmentName } from './segmentName';

/** The segment that records are currently appended to. */
interface ActiveSegment {
  readonly sequence: number;
  readonly file: SegmentFile;
  bytes: number;
}

/** Start of the appended bytes. */
export interface AppendPosition {
  readonly segment: number;
  readonly offset: number;
}

/** Options of a {@link SegmentWriter}. */
export interface SegmentWriterOptions {
  readonly files: SegmentFiles;
  readonly logger: Logger;
  /** Maximum size of a segment; an append that exceeds it starts a new segment. */
  readonly segmentBytes: number;
  readonly firstSequence: number;
  /** Called when the file of a segment has been created. */
  readonly onSegmentCreated: (sequence: number) => void;
}

/** Appends bytes to segments. Calls must not overlap. */
export class SegmentWriter {
  readonly #options: SegmentWriterOptions;

  #nextSequence: number;

  #active: ActiveSegment | undefined;

  constructor(options: SegmentWriterOptions) {
    this.#options = options;
    this.#nextSequence = options.firstSequence;
  }

  /** Sequence of the active segment; `undefined` if the next append starts a new one. */
  get activeSequence(): number | undefined {
    return this.#active?.sequence;
  }

  /**
   * Appends bytes, which may contain how many bytes of the segment are durable before them, and
   * resolves when they are durable on the disk. After a failure the content of the
   * segment is unknown, so the next append starts a new segment.
   */
  async append(length: number, encode: (durableBytes: number) => Buffer): Promise<AppendPosition> {
    const active = await this.#getSegmentWithRoom(length);
    const position = { segment: active.sequence, offset: active.bytes };
    try {
      const bytes = encode(active.bytes);
      active.bytes += bytes.length;
      await active.file.append(bytes);
      await active.file.sync();
      return position;
    } catch (error) {
      await this.#closeSegment(active);
      throw error;
    }
  }

  async close(): Promise<void> {
    if (this.#active) await this.#closeSegment(this.#active);
  }

  async #getSegmentWithRoom(bytes: number): Promise<ActiveSegment> {
    const active = this.#active;
    if (active && active.bytes + bytes <= this.#options.segmentBytes) return active;
    if (active) await this.#closeSegment(active);
    this.#active = await this.#createSegment();
    return this.#active;
  }

  async #createSegment(): Promise<ActiveSegment> {
    const { files, onSegmentCreated } = this.#options;
    const sequence = this.#nextSequence;
    this.#nextSequence += 1;
    const file = await files.create(segmentName(sequence));
    onSegmentCreated(sequence);
    await files.syncDirectory();
    return { sequence, file, bytes: 0 };
  }

  async #closeSegment({ sequence, file }: ActiveSegment): Promise<void> {
    this.#active = undefined;
    try {
      await file.close();
    } catch (error) {
      const detail = getErrorMessage(error);
      this.#options.logger.warn('turn-log.close-failed', { segment: sequence, detail });
    }
  }
}
