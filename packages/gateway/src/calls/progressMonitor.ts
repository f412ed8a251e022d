import type { TargetLoads } from '../targets/targetLoads';
import type { InactivityTimeout } from './inactivityTimeout';

/** Interval at which the progress of a response is checked. */
export const PROGRESS_CHECK_MILLISECONDS = 100;

/** Time between two checks above which the process itself was paused: two checks were missed. */
const PROCESS_PAUSE_MILLISECONDS = 3 * PROGRESS_CHECK_MILLISECONDS;

/** Detects whether the target of one attempt is unresponsive, in this response and all others. */
export class ProgressMonitor {
  readonly #targetId: string;

  readonly #inactivityTimeout: InactivityTimeout;

  readonly #loads: TargetLoads;

  #lastProgressMilliseconds = performance.now();

  #lastCheckMilliseconds = performance.now();

  #hasEvents = false;

  #isWaitingForCaller = false;

  constructor(targetId: string, inactivityTimeout: InactivityTimeout, loads: TargetLoads) {
    this.#targetId = targetId;
    this.#inactivityTimeout = inactivityTimeout;
    this.#loads = loads;
  }

  /** Records that part of the response arrived. */
  recordProgress(): void {
    this.#lastProgressMilliseconds = performance.now();
    this.#loads.recordReceivedBytes(this.#targetId);
  }

  /** Records that events arrived; from then on the timeout between two events applies. */
  recordEvents(): void {
    this.#hasEvents = true;
    this.recordProgress();
  }

  /** Sets whether the response waits for the caller to read, so that its target can't continue. */
  setWaitingForCaller(isWaiting: boolean): void {
    this.#isWaitingForCaller = isWaiting;
    this.recordProgress();
  }

  /**
   * Returns whether the target is unresponsive. Must be called at every check. After a pause of the
   * process the timeout restarts, as bytes that arrived meanwhile are read only after the check.
   */
  checkInactivity(): boolean {
    const nowMilliseconds = performance.now();
    const wasPaused = nowMilliseconds - this.#lastCheckMilliseconds > PROCESS_PAUSE_MILLISECONDS;
    this.#lastCheckMilliseconds = nowMilliseconds;
    if (wasPaused || this.#isWaitingForCaller) this.#lastProgressMilliseconds = nowMilliseconds;
    const { firstMilliseconds, laterMilliseconds } = this.#inactivityTimeout;
    const timeoutMilliseconds = this.#hasEvents ? laterMilliseconds : firstMilliseconds;
    return (
      nowMilliseconds - this.#lastProgressMilliseconds > timeoutMilliseconds &&
      this.#loads.getMillisecondsSinceLastByte(this.#targetId) > timeoutMilliseconds
    );
  }
}
