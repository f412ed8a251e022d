import type { LoadReport } from './scheduler';

/** A change made by this instance that the target's last report may not reflect yet. */
interface LoadChange {
  readonly atMilliseconds: number;
  readonly calls: number;
  readonly prefillTokens: number;
}

/** Inputs to the share of the free slots that a report shows. */
export interface AllowanceOptions {
  /** Maximum concurrent calls at the target over all instances. */
  readonly window: number;
  readonly instances: number;
  /** Age after which a report is ignored. */
  readonly expiryMilliseconds: number;
}

/** Load of one target: its lagging report, corrected by calls sent and ended since. */
export class LoadView {
  #report: LoadReport | undefined;

  /** When the report was measured, by the monotonic clock. */
  #takenAtMilliseconds = 0;

  #changes: LoadChange[] = [];

  #ownCalls = 0;

  #ownPrefillTokens = 0;

  #changedCalls = 0;

  #changedPrefillTokens = 0;

  get hasReport(): boolean {
    return this.#report !== undefined;
  }

  /** Applies a report unless a newer one was already applied. */
  applyReport(report: LoadReport): void {
    const takenAt = performance.now() - report.ageMilliseconds;
    if (this.#report && takenAt < this.#takenAtMilliseconds) return;
    this.#report = report;
    this.#takenAtMilliseconds = takenAt;
    this.#changes = this.#changes.filter(({ atMilliseconds }) => atMilliseconds > takenAt);
    this.#changedCalls = this.#changes.reduce((sum, { calls }) => sum + calls, 0);
    this.#changedPrefillTokens = this.#changes.reduce((sum, one) => sum + one.prefillTokens, 0);
  }

  /** Records a call that was sent (1) or ended (-1), and prompt tokens added or processed. */
  recordChange(calls: number, prefillTokens: number): void {
    this.#ownCalls += calls;
    this.#ownPrefillTokens += prefillTokens;
    if (!this.#report) return;
    this.#changedCalls += calls;
    this.#changedPrefillTokens += prefillTokens;
    this.#changes.push({ atMilliseconds: performance.now(), calls, prefillTokens });
  }

  /** Returns the running and queued calls at the target, of all instances. */
  calls(): number {
    if (!this.#report) return this.#ownCalls;
    const reported = this.#report.runningCalls + this.#report.queuedCalls;
    return Math.max(this.#ownCalls, reported + this.#changedCalls);
  }

  /** Returns the prompt tokens waiting to be processed at the target. */
  prefillTokens(): number {
    if (!this.#report) return this.#ownPrefillTokens;
    const reported = this.#report.queuedTokens + this.#changedPrefillTokens;
    return Math.max(this.#ownPrefillTokens, reported);
  }

  /**
   * Returns the concurrent calls that the last report allows this instance: its own calls at that
   * time plus an equal share of the free slots, so that all instances together stay within the
   * window. Returns 0 if the report has expired or calls are queued at the target.
   */
  computeAllowance({ window, instances, expiryMilliseconds }: AllowanceOptions): number {
    if (!this.#report || this.#report.queuedCalls > 0) return 0;
    if (performance.now() - this.#takenAtMilliseconds > expiryMilliseconds) return 0;
    const room = Math.max(0, window - this.#report.runningCalls);
    return this.#ownCalls - this.#changedCalls + Math.floor(room / instances);
  }
}
