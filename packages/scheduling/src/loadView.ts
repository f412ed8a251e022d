import type { LoadReport } from './scheduler';

/** What this instance did at a target that its last report may not know yet. */
interface LoadChange {
  readonly atMilliseconds: number;
  readonly calls: number;
  readonly prefillTokens: number;
}

/** By what a report's room is divided. */
export interface ReportedRoom {
  /** Calls under way at once, over all instances together. */
  readonly window: number;
  readonly instances: number;
  /** Age after which a report counts no longer. */
  readonly expiryMilliseconds: number;
}

/** Load of one target: its lagging report, corrected by what was sent and ended since. */
export class LoadView {
  #report: LoadReport | undefined;

  /** When the report's figures were true, by the monotonic clock. */
  #takenAtMilliseconds = 0;

  #changes: LoadChange[] = [];

  #ownCalls = 0;

  #ownPrefillTokens = 0;

  #changedCalls = 0;

  #changedPrefillTokens = 0;

  get hasReport(): boolean {
    return this.#report !== undefined;
  }

  /** Takes a report, unless a newer one came before it. */
  takeReport(report: LoadReport): void {
    const takenAt = performance.now() - report.ageMilliseconds;
    if (this.#report && takenAt < this.#takenAtMilliseconds) return;
    this.#report = report;
    this.#takenAtMilliseconds = takenAt;
    this.#changes = this.#changes.filter(({ atMilliseconds }) => atMilliseconds > takenAt);
    this.#changedCalls = this.#changes.reduce((sum, { calls }) => sum + calls, 0);
    this.#changedPrefillTokens = this.#changes.reduce((sum, one) => sum + one.prefillTokens, 0);
  }

  /** Notes a call that was sent (1) or ended (-1) and prompt tokens that wait or are done. */
  change(calls: number, prefillTokens: number): void {
    this.#ownCalls += calls;
    this.#ownPrefillTokens += prefillTokens;
    if (!this.#report) return;
    this.#changedCalls += calls;
    this.#changedPrefillTokens += prefillTokens;
    this.#changes.push({ atMilliseconds: performance.now(), calls, prefillTokens });
  }

  /** Returns the calls under way or queued at the target, of all instances. */
  calls(): number {
    if (!this.#report) return this.#ownCalls;
    const reported = this.#report.runningCalls + this.#report.queuedCalls;
    return Math.max(this.#ownCalls, reported + this.#changedCalls);
  }

  /** Returns the prompt tokens that wait to be processed at the target. */
  prefillTokens(): number {
    if (!this.#report) return this.#ownPrefillTokens;
    const reported = this.#report.queuedTokens + this.#changedPrefillTokens;
    return Math.max(this.#ownPrefillTokens, reported);
  }

  /**
   * Returns the calls that this instance may have under way by the last report: its own at that
   * time and an equal part of the room, so that all instances fit in together. It is 0 where the
   * report is too old or calls wait at the target.
   */
  reportedAllowance({ window, instances, expiryMilliseconds }: ReportedRoom): number {
    if (!this.#report || this.#report.queuedCalls > 0) return 0;
    if (performance.now() - this.#takenAtMilliseconds > expiryMilliseconds) return 0;
    const room = Math.max(0, window - this.#report.runningCalls);
    return this.#ownCalls - this.#changedCalls + Math.floor(room / instances);
  }
}
