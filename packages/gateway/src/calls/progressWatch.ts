import type { TargetLoads } from '../targets/targetLoads';
import type { SilenceBound } from './silenceBound';

/** How often the progress of an answer is checked. */
export const PROGRESS_CHECK_MILLISECONDS = 100;

/** Time between two checks from which on the process itself stood still: two checks were missed. */
const PAUSE_MILLISECONDS = 3 * PROGRESS_CHECK_MILLISECONDS;

/** Tells whether the target of one attempt is silent: with this answer and with all others. */
export class ProgressWatch {
  readonly #targetId: string;

  readonly #bound: SilenceBound;

  readonly #loads: TargetLoads;

  #lastProgressMilliseconds = performance.now();

  #lastCheckMilliseconds = performance.now();

  #hasEvents = false;

  #isWaitingForCaller = false;

  constructor(targetId: string, bound: SilenceBound, loads: TargetLoads) {
    this.#targetId = targetId;
    this.#bound = bound;
    this.#loads = loads;
  }

  /** Notes that part of the answer came. */
  noteProgress(): void {
    this.#lastProgressMilliseconds = performance.now();
    this.#loads.heard(this.#targetId);
  }

  /** Notes that events came, between which another bound holds than before them. */
  noteEvents(): void {
    this.#hasEvents = true;
    this.noteProgress();
  }

  /** Notes whether the answer waits for the caller to read on, so that its target can't go on. */
  noteWaitingForCaller(isWaiting: boolean): void {
    this.#isWaitingForCaller = isWaiting;
    this.noteProgress();
  }

  /**
   * Returns whether the target is silent; to be asked at every check. Bytes that came while the
   * process stood still are read only after the check.
   */
  checkSilence(): boolean {
    const nowMilliseconds = performance.now();
    const wasPaused = nowMilliseconds - this.#lastCheckMilliseconds > PAUSE_MILLISECONDS;
    this.#lastCheckMilliseconds = nowMilliseconds;
    if (wasPaused || this.#isWaitingForCaller) this.#lastProgressMilliseconds = nowMilliseconds;
    const { firstMilliseconds, laterMilliseconds } = this.#bound;
    const boundMilliseconds = this.#hasEvents ? laterMilliseconds : firstMilliseconds;
    return (
      nowMilliseconds - this.#lastProgressMilliseconds > boundMilliseconds &&
      this.#loads.silenceMilliseconds(this.#targetId) > boundMilliseconds
    );
  }
}
