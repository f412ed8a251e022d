import { execFile } from 'node:child_process';
import { constants } from 'node:fs';
import type { FileHandle } from 'node:fs/promises';
import { open } from 'node:fs/promises';
import { promisify } from 'node:util';
import { waitUntil } from '../../src';

/** A loaded machine may take seconds to start a program. */
const READER_MILLISECONDS = 15_000;

/** A file whose reader waits until it is told the content, which holds a program where it reads. */
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

  /** The same pipe after it was renamed. */
  at(path: string): NamedPipe {
    return new NamedPipe(path);
  }

  /** Resolves once a reader waits. */
  async untilRead(): Promise<void> {
    await waitUntil(`a reader of ${this.#path}`, READER_MILLISECONDS, async () => {
      // Without a reader this fails instead of waiting.
      this.#handle = await open(this.#path, constants.O_WRONLY | constants.O_NONBLOCK);
      return true;
    });
  }

  /** Gives the reader a short content, unless it is gone. */
  async release(content: string): Promise<void> {
    await this.#handle?.writeFile(content).catch(() => undefined);
    await this.#handle?.close();
    this.#handle = undefined;
  }
}
