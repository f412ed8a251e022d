import { rename, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { platformSettings } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import { ManagedProcess } from '../fleet/managedProcess';
import type { CutSpan } from './lifetime';
import { Lifetime } from './lifetime';
import { readProcessorMilliseconds } from './readProcessorMilliseconds';
import type { SoakSignal } from './soakFault';

/** The platform restarts a process immediately. */
const RESTART_DELAY_MILLISECONDS = 50;
const PROCESSOR_CHECK_INTERVAL_MILLISECONDS = 5;
/**
 * The runtime alone uses about 60 ms before the program's first line; an earlier signal ends the
 * process whatever the program does.
 */
const BOOT_PROCESSOR_MILLISECONDS = 100;
const MAXIMUM_OUTPUT_CHARACTERS = 4_000_000;
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

/** Signal to send to the next process during its start. */
interface StartSignal {
  readonly signal: SoakSignal;
  readonly processorMilliseconds: number;
}

/** Resolves when a process has used the given processor time, or has ended. */
const waitForProcessorTime = async (
  managed: ManagedProcess,
  milliseconds: number,
): Promise<void> => {
  let used: number | undefined = 0;
  while (used !== undefined && used < milliseconds && !managed.hasExited) {
    await delay(PROCESSOR_CHECK_INTERVAL_MILLISECONDS);
    used = await readProcessorMilliseconds(managed.pid);
  }
};

/** One instance: a process of the entry program, restarted each time it ends. */
export class SoakInstance {
  readonly lifetimes: Lifetime[] = [];

  /** Cuts from all targets. */
  readonly cuts: CutSpan[] = [];

  readonly #options: SoakInstanceOptions;

  readonly #processes = new Map<Lifetime, ManagedProcess>();

  /** Promises that resolve when the program of a process has started to run. */
  readonly #bootWaits = new Map<Lifetime, Promise<void>>();

  readonly #timers = new Set<NodeJS.Timeout>();

  #startSignal: StartSignal | undefined;

  #quotaWindowSeconds = 5;

  #isStopped = false;

  constructor(options: SoakInstanceOptions) {
    this.#options = options;
  }

  get name(): string {
    return this.#options.name;
  }

  get host(): string {
    return this.#options.host;
  }

  /** The latest process, running or ended. */
  get latestLifetime(): Lifetime {
    const latest = this.lifetimes.at(-1);
    if (!latest) throw new Error(`${this.name} was not started`);
    return latest;
  }

  /** Returns the output of a process. */
  getOutput(lifetime: Lifetime): string {
    return this.#processes.get(lifetime)?.output ?? '';
  }

  /** Returns the processor time that the latest process has used; 0 if it has ended. */
  async readProcessorMilliseconds(): Promise<number> {
    const managed = this.#processes.get(this.latestLifetime);
    return (managed && (await readProcessorMilliseconds(managed.pid))) ?? 0;
  }

  async start(): Promise<void> {
    await this.#writeSettings();
    const { name, program } = this.#options;
    const lifetime = new Lifetime(`${name}.${this.lifetimes.length + 1}`, this.cuts);
    const managed = new ManagedProcess({
      name: lifetime.name,
      script: program,
      arguments: ['serve', '--settings', this.#settingsPath],
      maximumOutputCharacters: MAXIMUM_OUTPUT_CHARACTERS,
    });
    this.#processes.set(lifetime, managed);
    this.lifetimes.push(lifetime);
    this.#bootWaits.set(lifetime, waitForProcessorTime(managed, BOOT_PROCESSOR_MILLISECONDS));
    void this.#restartAfterExit(lifetime, managed);
    void this.#sendStartSignal(lifetime, managed);
  }

  /** Sends a signal to the latest process, once its program can handle it. */
  async signal(signal: SoakSignal): Promise<void> {
    const lifetime = this.latestLifetime;
    const managed = this.#processes.get(lifetime);
    if (!managed) return;
    if (signal !== 'SIGKILL') await this.#bootWaits.get(lifetime);
    this.#sendSignal(lifetime, managed, signal);
  }

  /** Kills the process and signals the next one during its start. */
  async signalAtStart(signal: SoakSignal, milliseconds: number): Promise<void> {
    this.#startSignal = { signal, processorMilliseconds: milliseconds };
    await this.signal('SIGKILL');
  }

  /** Changes the settings file, as the platform does at any time. */
  async changeSettings(): Promise<void> {
    this.#quotaWindowSeconds = this.#quotaWindowSeconds === 5 ? 6 : 5;
    await this.#writeSettings();
  }

  /** Stops the process without a restart and waits for its end. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.signal('SIGCONT');
    await this.signal('SIGTERM');
    await this.#processes.get(this.latestLifetime)?.waitForExit();
    this.#timers.forEach(clearTimeout);
  }

  get #settingsPath(): string {
    return join(this.#options.folder, `${this.name}.toml`);
  }

  /** Replaces the file atomically, so that no reader sees partial content. */
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

  async #restartAfterExit(lifetime: Lifetime, managed: ManagedProcess): Promise<void> {
    await managed.waitForExit();
    Object.assign(lifetime, {
      endedAt: performance.now(),
      end: managed.signalCode ?? managed.exitCode ?? undefined,
    });
    await delay(RESTART_DELAY_MILLISECONDS);
    if (!this.#isStopped) await this.start();
  }

  #killAfterGrace(lifetime: Lifetime, managed: ManagedProcess): void {
    const mutableLifetime = lifetime;
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (managed.hasExited) return;
      mutableLifetime.hasOverrun = !lifetime.wasPaused;
      this.#sendSignal(lifetime, managed, 'SIGKILL');
    }, this.#options.graceSeconds * MILLISECONDS_PER_SECOND);
    this.#timers.add(timer);
  }

  async #sendStartSignal(lifetime: Lifetime, managed: ManagedProcess): Promise<void> {
    const startSignal = this.#startSignal;
    this.#startSignal = undefined;
    if (!startSignal) return;
    await waitForProcessorTime(managed, startSignal.processorMilliseconds);
    this.#sendSignal(lifetime, managed, startSignal.signal);
  }

  #sendSignal(lifetime: Lifetime, managed: ManagedProcess, signal: SoakSignal): void {
    if (managed.hasExited) return;
    const isFirstStop = lifetime.stoppedAt === undefined;
    lifetime.signals.push({ signal, at: performance.now(), state: lifetime.state });
    managed.signal(signal);
    if (isFirstStop && lifetime.stoppedAt !== undefined) this.#killAfterGrace(lifetime, managed);
  }
}
