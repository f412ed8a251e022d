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
  /** How much of the end of its output is kept. */
  readonly keptCharacters?: number;
}

const USUAL_KEPT_CHARACTERS = 20_000;

/** A process of a fleet, started by this one, with the last lines that it printed. */
export class ManagedProcess {
  readonly name: string;

  readonly #child: ChildProcess;

  readonly #exited: Promise<unknown>;

  readonly #keptCharacters: number;

  #output = '';

  constructor(options: ManagedProcessOptions) {
    this.name = options.name;
    this.#keptCharacters = options.keptCharacters ?? USUAL_KEPT_CHARACTERS;
    this.#child = spawn(process.execPath, [options.script, ...options.arguments], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...options.environment },
    });
    this.#exited = once(this.#child, 'exit');
    this.#child.stdout?.on('data', (bytes: Buffer) => this.#keep(bytes));
    this.#child.stderr?.on('data', (bytes: Buffer) => this.#keep(bytes));
  }

  /** Exit code; `null` while the process runs or after a signal ended it. */
  get exitCode(): number | null {
    return this.#child.exitCode;
  }

  /** Identifier of the process; 0 where it could not be started. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Whether the process has ended. */
  get hasExited(): boolean {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  /** The last part of what the process printed. */
  get output(): string {
    return this.#output;
  }

  /** Name of the signal that ended the process; `null` while it runs or after it exited by itself. */
  get signalCode(): NodeJS.Signals | null {
    return this.#child.signalCode;
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Asks the process to end and resolves to its exit code. */
  async stop(): Promise<number | null> {
    if (!this.hasExited) this.#child.kill('SIGTERM');
    await this.exited();
    return this.#child.exitCode;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    if (!this.hasExited) this.#child.kill('SIGKILL');
    await this.exited();
  }

  /** Resolves when the process has ended. */
  async exited(): Promise<void> {
    if (!this.hasExited) await this.#exited;
  }

  #keep(bytes: Buffer): void {
    this.#output = (this.#output + bytes.toString('utf8')).slice(-this.#keptCharacters);
  }
}
