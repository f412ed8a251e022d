import type { PlatformStoreStandIn, TargetMode, TargetRun } from '@limpetnotch/stand-ins';
import { PlatformTargetStandIn } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';

/** The platform removes an entry after three missed check-in intervals. */
const ENTRY_EXPIRY_MILLISECONDS = 3_600;
/** A leaving target still serves for this time; the platform's example uses 2 s. */
const LEAVE_MILLISECONDS = 2_000;
/** A target crashed by a request restarts at its address after this time. */
const CRASH_RESTART_MILLISECONDS = 1_500;

/** Options of {@link SoakTarget.start}. */
export interface SoakTargetOptions {
  readonly name: string;
  readonly service: string;
  readonly slots: number;
  readonly isStreaming: boolean;
  readonly availabilityZone: string;
  readonly store: PlatformStoreStandIn;
  readonly record: (run: TargetRun) => void;
  /** Software version of the first incarnation. */
  readonly version: string;
}

/** A target that ends and restarts, each time as a new incarnation that announces itself. */
export class SoakTarget {
  /** All incarnations by identifier. */
  readonly incarnations = new Map<string, PlatformTargetStandIn>();

  readonly #options: SoakTargetOptions;

  #current: PlatformTargetStandIn | undefined;

  #isAway = false;

  #isStopped = false;

  /** Software version of the incarnations that start from now on. */
  version: string;

  constructor(options: SoakTargetOptions) {
    this.#options = options;
    this.version = options.version;
  }

  async start(port = 0): Promise<void> {
    const { name, slots, isStreaming, record } = this.#options;
    const id = `${name}-${this.incarnations.size + 1}`;
    const onCrash = (): void => {
      void this.crash(CRASH_RESTART_MILLISECONDS, true);
    };
    const { version } = this;
    const options = { id, slots, isStreaming, port, version, record, onCrash };
    const target = await PlatformTargetStandIn.start(options);
    this.#current = target;
    this.incarnations.set(id, target);
    this.#announce(target, false);
  }

  setMode(mode: TargetMode): void {
    if (this.#current) this.#current.mode = mode;
  }

  /** Sets the limit that the current incarnation names; undefined ends it. */
  setLimit(requestsPerSecond: number | undefined): void {
    this.#current?.limitHistory.set(requestsPerSecond);
  }

  /** Ends without notice; its entry stays until the platform expires it. */
  async crash(awayMilliseconds: number, keepsAddress: boolean): Promise<void> {
    const { store } = this.#options;
    await this.#restart(awayMilliseconds, keepsAddress, async (target) => {
      await target.end();
      setTimeout(() => store.withdrawTarget(target.id), ENTRY_EXPIRY_MILLISECONDS);
    });
  }

  /** Announces that it leaves, keeps serving for a while, and ends. */
  async leave(awayMilliseconds: number, keepsAddress: boolean): Promise<void> {
    const { store } = this.#options;
    await this.#restart(awayMilliseconds, keepsAddress, async (target) => {
      const mutableTarget = target;
      mutableTarget.isLeaving = true;
      this.#announce(target, true);
      await delay(LEAVE_MILLISECONDS);
      await target.end();
      store.withdrawTarget(target.id);
    });
  }

  async stop(): Promise<void> {
    this.#isAway = true;
    this.#isStopped = true;
    await this.#current?.end();
  }

  async #restart(
    awayMilliseconds: number,
    keepsAddress: boolean,
    end: (target: PlatformTargetStandIn) => Promise<void>,
  ): Promise<void> {
    const target = this.#current;
    if (!target || this.#isAway) return;
    this.#isAway = true;
    const { port } = target;
    await end(target);
    await delay(awayMilliseconds);
    if (this.#isStopped) return;
    await this.start(keepsAddress ? port : 0);
    this.#isAway = false;
  }

  #announce(target: PlatformTargetStandIn, isLeaving: boolean): void {
    const { id, port, version, bornMilliseconds } = target;
    const announced = { id, port, version, bornMilliseconds, isLeaving };
    this.#options.store.announceTarget({ ...this.#options, ...announced });
  }
}
