import { rename, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { platformSettings } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import { ManagedProcess } from '../fleet/managedProcess';
import { Lifetime } from './lifetime';
import { processorMilliseconds } from './processorMilliseconds';
import type { SoakSignal } from './soakFault';

/** The platform starts a process again at once. */
const RESTART_MILLISECONDS = 50;
const PROCESSOR_CHECK_MILLISECONDS = 5;
/**
 * A bare runtime uses about 60 ms before the program's first line; a signal that comes earlier ends
 * the process whatever the program does.
 */
const BOOT_PROCESSOR_MILLISECONDS = 100;
const KEPT_CHARACTERS = 4_000_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Options of {@link SoakInstance}. */
export interface SoakInstanceOptions {
  readonly name: string;
  readonly host: string;
  readonly availabilityZone: string;
  readonly graceSeconds: number;
  readonly storePort: number;
  /** Script of the program. */
  readonly program: string;
  /** Folder of the settings file. */
  readonly folder: string;
}

/** Signal that the next process gets early in its start. */
interface StartSignal {
  readonly signal: SoakSignal;
  readonly processorMilliseconds: number;
}

/** Resolves when a process has used so much processor time, or has ended. */
const untilUsed = async (managed: ManagedProcess, milliseconds: number): Promise<void> => {
  let used: number | undefined = 0;
  while (used !== undefined && used < milliseconds && !managed.hasExited) {
    await delay(PROCESSOR_CHECK_MILLISECONDS);
    used = await processorMilliseconds(managed.pid);
  }
};

/** One instance: a process of the entry program, started again each time it ends. */
export class SoakInstance {
  readonly lifetimes: Lifetime[] = [];

  readonly #options: SoakInstanceOptions;

  readonly #processes = new Map<Lifetime, ManagedProcess>();

  /** Resolve when the program of a process has begun to run. */
  readonly #booted = new Map<Lifetime, Promise<void>>();

  readonly #timers = new Set<NodeJS.Timeout>();

  #startSignal: StartSignal | undefined;

  #quotaWindowSeconds = 5;

  #isClosed = false;

  constructor(options: SoakInstanceOptions) {
    this.#options = options;
  }

  get name(): string {
    return this.#options.name;
  }

  get host(): string {
    return this.#options.host;
  }

  /** The newest process, ended or not. */
  get newest(): Lifetime {
    const newest = this.lifetimes.at(-1);
    if (!newest) throw new Error(`${this.name} was not started`);
    return newest;
  }

  /** What a process printed. */
  outputOf(lifetime: Lifetime): string {
    return this.#processes.get(lifetime)?.output ?? '';
  }

  async start(): Promise<void> {
    await this.#writeSettings();
    const { name, program } = this.#options;
    const lifetime = new Lifetime(`${name}.${this.lifetimes.length + 1}`);
    const managed = new ManagedProcess({
      name: lifetime.name,
      script: program,
      arguments: ['serve', '--settings', this.#settingsPath],
      keptCharacters: KEPT_CHARACTERS,
    });
    this.#processes.set(lifetime, managed);
    this.lifetimes.push(lifetime);
    this.#booted.set(lifetime, untilUsed(managed, BOOT_PROCESSOR_MILLISECONDS));
    void this.#followEnd(lifetime, managed);
    void this.#signalEarly(lifetime, managed);
  }

  /** Sends a signal to the newest process, as soon as its program could handle it. */
  async signal(signal: SoakSignal): Promise<void> {
    const lifetime = this.newest;
    const managed = this.#processes.get(lifetime);
    if (!managed) return;
    if (signal !== 'SIGKILL') await this.#booted.get(lifetime);
    this.#send(lifetime, managed, signal);
  }

  /** Kills the process and signals the next one while it starts. */
  async signalAtStart(signal: SoakSignal, milliseconds: number): Promise<void> {
    this.#startSignal = { signal, processorMilliseconds: milliseconds };
    await this.signal('SIGKILL');
  }

  /** Changes the settings file, as the platform does at any time. */
  async changeSettings(): Promise<void> {
    this.#quotaWindowSeconds = this.#quotaWindowSeconds === 5 ? 6 : 5;
    await this.#writeSettings();
  }

  /** Stops the process for good and waits for its end. */
  async stop(): Promise<void> {
    this.#isClosed = true;
    await this.signal('SIGCONT');
    await this.signal('SIGTERM');
    await this.#processes.get(this.newest)?.exited();
    this.#timers.forEach(clearTimeout);
  }

  get #settingsPath(): string {
    return join(this.#options.folder, `${this.name}.toml`);
  }

  /** Replaces the file as a whole, so that no reader meets half of it. */
  async #writeSettings(): Promise<void> {
    const text = platformSettings({
      ...this.#options,
      instance: this.name,
      quotaWindowSeconds: this.#quotaWindowSeconds,
      isFirstStart: this.lifetimes.length === 0,
    });
    await writeFile(`${this.#settingsPath}.new`, text);
    await rename(`${this.#settingsPath}.new`, this.#settingsPath);
  }

  async #followEnd(lifetime: Lifetime, managed: ManagedProcess): Promise<void> {
    await managed.exited();
    Object.assign(lifetime, {
      endedAt: performance.now(),
      end: managed.signalCode ?? managed.exitCode ?? undefined,
    });
    await delay(RESTART_MILLISECONDS);
    if (!this.#isClosed) await this.start();
  }

  #killAfterGrace(lifetime: Lifetime, managed: ManagedProcess): void {
    const overrun = lifetime;
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (managed.hasExited) return;
      overrun.hasOverrun = !lifetime.wasPaused;
      this.#send(lifetime, managed, 'SIGKILL');
    }, this.#options.graceSeconds * MILLISECONDS_PER_SECOND);
    this.#timers.add(timer);
  }

  async #signalEarly(lifetime: Lifetime, managed: ManagedProcess): Promise<void> {
    const early = this.#startSignal;
    this.#startSignal = undefined;
    if (!early) return;
    await untilUsed(managed, early.processorMilliseconds);
    this.#send(lifetime, managed, early.signal);
  }

  #send(lifetime: Lifetime, managed: ManagedProcess, signal: SoakSignal): void {
    if (managed.hasExited) return;
    const isFirstStop = lifetime.stoppedAt === undefined;
    lifetime.signals.push({ signal, at: performance.now(), state: lifetime.state });
    managed.signal(signal);
    if (isFirstStop && lifetime.stoppedAt !== undefined) this.#killAfterGrace(lifetime, managed);
  }
}
