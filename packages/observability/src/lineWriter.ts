import { writeSync, write } from 'node:fs';

/** Delay in which lines are collected into one write. */
const BATCH_MILLISECONDS = 20;

/** Delay before retrying a write for which the output had no room. */
const RETRY_MILLISECONDS = 50;

/** Rate limit in lines per second; a busy instance writes a few hundred. */
const MAXIMUM_LINES_PER_SECOND = 3_000;

/** Limit on the text buffered for a slow reader. */
const MAXIMUM_PENDING_CHARACTERS = 1_048_576;

const MILLISECONDS_PER_SECOND = 1_000;

/** Writes text to a file descriptor; calls back with the number of bytes written, or an error. */
export type WriteText = (
  text: string,
  done: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
) => void;

const STANDARD_OUTPUT_DESCRIPTOR = 1;

const writeToStandardOutput: WriteText = (text, done) => {
  write(STANDARD_OUTPUT_DESCRIPTOR, text, null, 'utf8', done);
};

/**
 * Writes lines in batches without blocking on the reader of the output. Lines are dropped and counted
 * above a rate limit or when the reader is too slow; a line before the next accepted one reports the
 * number of dropped lines.
 */
export class LineWriter {
  readonly #write: WriteText;

  readonly #describeDropped: (count: number) => string;

  #pendingText = '';

  #droppedCount = 0;

  #linesInWindow = 0;

  #windowStartMilliseconds = performance.now();

  #isWriteScheduled = false;

  /** `describeDropped` returns the line that reports dropped lines, including its line break. */
  constructor(
    describeDropped: (count: number) => string,
    writeText: WriteText = writeToStandardOutput,
  ) {
    this.#write = writeText;
    this.#describeDropped = describeDropped;
  }

  /** Queues a line, which includes its line break. */
  push(line: string): void {
    const now = performance.now();
    if (now - this.#windowStartMilliseconds >= MILLISECONDS_PER_SECOND) {
      this.#windowStartMilliseconds = now;
      this.#linesInWindow = 0;
    }
    const hasRoom = this.#pendingText.length + line.length <= MAXIMUM_PENDING_CHARACTERS;
    if (!hasRoom || this.#linesInWindow >= MAXIMUM_LINES_PER_SECOND) {
      this.#droppedCount += 1;
      return;
    }
    this.#linesInWindow += 1;
    if (this.#droppedCount > 0) this.#pendingText += this.#describeDropped(this.#droppedCount);
    this.#droppedCount = 0;
    this.#pendingText += line;
    if (!this.#isWriteScheduled) this.#schedule(BATCH_MILLISECONDS);
  }

  /** Writes the pending text synchronously when the process exits; text without room is lost. */
  flush(): void {
    const text = this.#pendingText;
    this.#pendingText = '';
    if (text === '') return;
    try {
      // eslint-disable-next-line n/no-sync -- asynchronous writes no longer run while the process exits
      writeSync(STANDARD_OUTPUT_DESCRIPTOR, text);
    } catch {
      // The error cannot be reported: the output is closed or full, and the process exits.
    }
  }

  #schedule(milliseconds: number): void {
    this.#isWriteScheduled = true;
    setTimeout(() => this.#writeBatch(), milliseconds).unref();
  }

  #writeBatch(): void {
    const text = this.#pendingText;
    this.#pendingText = '';
    this.#write(text, (error, writtenBytes) => {
      const remainder = Buffer.from(text, 'utf8').subarray(error ? 0 : writtenBytes);
      this.#pendingText = remainder.toString('utf8') + this.#pendingText;
      this.#isWriteScheduled = false;
      if (this.#pendingText === '') return;
      this.#schedule(remainder.length > 0 ? RETRY_MILLISECONDS : BATCH_MILLISECONDS);
    });
  }
}
