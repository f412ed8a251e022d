import { execFile } from 'node:child_process';
import { constants } from 'node:fs';
import type { FileHandle } from 'node:fs/promises';
import { open } from 'node:fs/promises';
import { promisify } from 'node:util';
import { waitUntil } from '../../src';

/** A busy machine may take seconds to start a program. */
const READER_TIMEOUT_MILLISECONDS = 15_000;

/** A named pipe that blocks a program that reads it, until the content is written. */
export class NamedPipe {
  readonly #path: string;

  #handle: FileHandle | undefined;

  private constructor(path: string) {
    this.#path = path;
  }

  static async create(path: string): Promise<NamedPipe> {
    await promisify(execFile)('mkfifo', [path]);
    return new NamedPipe(path);
  }

  /** Returns the same pipe at the path to which it was renamed. */
  at(path: string): NamedPipe {
    return new NamedPipe(path);
  }

  /** Resolves when a reader is waiting. */
  async waitForReader(): Promise<void> {
    await waitUntil(`a reader of ${this.#path}`, READER_TIMEOUT_MILLISECONDS, async () => {
      // With O_NONBLOCK, this fails without a reader instead of waiting for one.
      this.#handle = await open(this.#path, constants.O_WRONLY | constants.O_NONBLOCK);
      return true;
    });
  }

  /** Writes short content to the reader, if it still exists. */
  async release(content: string): Promise<void> {
    await this.#handle?.writeFile(content).catch(() => undefined);
    await this.#handle?.close();
    this.#handle = undefined;
  }
}
