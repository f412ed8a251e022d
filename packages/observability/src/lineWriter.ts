import { writeSync, write } from 'node:fs';

/** Lines wait this long to be written together, in milliseconds. */
const BATCH_MILLISECONDS = 20;

/** Pause before a write is repeated that the reader of the output had no room for, in milliseconds. */
const RETRY_MILLISECONDS = 50;

/** Lines a second; a busy instance writes a few hundred. */
const MAXIMUM_LINES_PER_SECOND = 3_000;

/** Characters that wait for a slow reader at most. */
const MAXIMUM_WAITING = 1_048_576;

const SECOND_MILLISECONDS = 1_000;

/** Writes text to a file descriptor; calls back with what was written, or with an error. */
export type WriteText = (
  text: string,
  done: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
) => void;

const STANDARD_OUTPUT = 1;

const writeToStandardOutput: WriteText = (text, done) => {
  write(STANDARD_OUTPUT, text, null, 'utf8', done);
};

/**
 * Writes lines in batches without ever waiting for their reader. Beyond a number of lines a second,
 * or where the reader is too slow, lines are dropped and counted; the next line tells how many.
 */
export class LineWriter {
  readonly #write: WriteText;

  readonly #describeDropped: (count: number) => string;

  #waiting = '';

  #dropped = 0;

  #linesInSecond = 0;

  #secondBeganMilliseconds = performance.now();

  #isWriting = false;

  /** `describeDropped` makes the line that tells of dropped ones, with its line break. */
  constructor(
    describeDropped: (count: number) => string,
    write_: WriteText = writeToStandardOutput,
  ) {
    this.#write = write_;
    this.#describeDropped = describeDropped;
  }

  /** Takes a line with its line break. */
  push(line: string): void {
    const now = performance.now();
    if (now - this.#secondBeganMilliseconds >= SECOND_MILLISECONDS) {
      this.#secondBeganMilliseconds = now;
      this.#linesInSecond = 0;
    }
    const hasRoom = this.#waiting.length + line.length <= MAXIMUM_WAITING;
    if (!hasRoom || this.#linesInSecond >= MAXIMUM_LINES_PER_SECOND) {
      this.#dropped += 1;
      return;
    }
    this.#linesInSecond += 1;
    if (this.#dropped > 0) this.#waiting += this.#describeDropped(this.#dropped);
    this.#dropped = 0;
    this.#waiting += line;
    if (!this.#isWriting) this.#schedule(BATCH_MILLISECONDS);
  }

  /** Writes what waits at once, as the process ends; what finds no room is lost. */
  flush(): void {
    const text = this.#waiting;
    this.#waiting = '';
    if (text === '') return;
    try {
      // eslint-disable-next-line n/no-sync -- nothing asynchronous runs any more as the process ends
      writeSync(STANDARD_OUTPUT, text);
    } catch {
      // There is nobody left to tell: the reader is gone or full, and the process ends.
    }
  }

  #schedule(milliseconds: number): void {
    this.#isWriting = true;
    setTimeout(() => this.#writeBatch(), milliseconds).unref();
  }

  #writeBatch(): void {
    const text = this.#waiting;
    this.#waiting = '';
    this.#write(text, (error, writtenBytes) => {
      const rest = Buffer.from(text, 'utf8').subarray(error ? 0 : writtenBytes);
      this.#waiting = rest.toString('utf8') + this.#waiting;
      this.#isWriting = false;
      if (this.#waiting === '') return;
      this.#schedule(rest.length > 0 ? RETRY_MILLISECONDS : BATCH_MILLISECONDS);
    });
  }
}
