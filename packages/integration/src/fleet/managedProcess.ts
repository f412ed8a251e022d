import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';

/** Options of {@link ManagedProcess}. */
export interface ManagedProcessOptions {
  readonly name: string;
  /** Path of the script that Node.js runs. */
  readonly script: string;
  readonly arguments: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  /** How many of the last characters of its output are kept. */
  readonly maximumOutputCharacters?: number;
}

const DEFAULT_OUTPUT_CHARACTERS = 20_000;

/** A child process of a fleet, with the end of its output. */
export class ManagedProcess {
  readonly name: string;

  readonly #child: ChildProcess;

  readonly #exited: Promise<unknown>;

  readonly #maximumOutputCharacters: number;

  #output = '';

  constructor(options: ManagedProcessOptions) {
    this.name = options.name;
    this.#maximumOutputCharacters = options.maximumOutputCharacters ?? DEFAULT_OUTPUT_CHARACTERS;
    this.#child = spawn(process.execPath, [options.script, ...options.arguments], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...options.environment },
    });
    this.#exited = once(this.#child, 'exit');
    this.#child.stdout?.on('data', (bytes: Buffer) => this.#appendOutput(bytes));
    this.#child.stderr?.on('data', (bytes: Buffer) => this.#appendOutput(bytes));
  }

  /** Exit code; `null` while the process runs or after a signal ended it. */
  get exitCode(): number | null {
    return this.#child.exitCode;
  }

  /** Identifier of the process; 0 if it could not be started. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Whether the process has ended. */
  get hasExited(): boolean {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  /** The end of the process's output. */
  get output(): string {
    return this.#output;
  }

  /** Signal that ended the process; `null` while it runs or after it exited by itself. */
  get signalCode(): NodeJS.Signals | null {
    return this.#child.signalCode;
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Sends SIGTERM, waits for the exit and resolves to the exit code. */
  async stop(): Promise<number | null> {
    if (!this.hasExited) this.#child.kill('SIGTERM');
    await this.waitForExit();
    return this.#child.exitCode;
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<void> {
    if (!this.hasExited) this.#child.kill('SIGKILL');
    await this.waitForExit();
  }

  /** Resolves when the process has ended. */
  async waitForExit(): Promise<void> {
    if (!this.hasExited) await this.#exited;
  }

  #appendOutput(bytes: Buffer): void {
    this.#output = (this.#output + bytes.toString('utf8')).slice(-this.#maximumOutputCharacters);
  }
}
