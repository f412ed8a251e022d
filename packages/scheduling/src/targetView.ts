import type { TargetSpec } from '@limpetnotch/declarations';
import { LoadView } from './loadView';
import type { SchedulerSettings } from './schedulerSettings';
import { TargetHealth } from './targetHealth';
import type { TargetScores } from './targetScores';

/** State of one target as seen by this instance. */
export class TargetView {
  readonly name: string;

  readonly load = new LoadView();

  readonly health: TargetHealth;

  /** Running calls of this instance. */
  inFlight = 0;

  /** Running calls whose request was running during an earlier crash. */
  suspectCalls = 0;

  /** Position of this target in the scores, which {@link refresh} updates. */
  readonly position: number;

  readonly #scores: TargetScores;

  readonly #settings: SchedulerSettings;

  #spec: TargetSpec;

  #share = 0;

  #fleetSize = 1;

  #changesWithTime = false;

  constructor(name: string, spec: TargetSpec, settings: SchedulerSettings, scores: TargetScores) {
    this.name = name;
    this.position = scores.allocate();
    this.#scores = scores;
    this.#spec = spec;
    this.#settings = settings;
    this.health = new TargetHealth(settings);
  }

  get spec(): TargetSpec {
    return this.#spec;
  }

  /** Calls that this instance may send now. */
  get openSlots(): number {
    return this.#scores.openSlots[this.position] ?? 0;
  }

  /** Expected delay due to the target's load and its availability zone. */
  get delayMilliseconds(): number {
    return this.#scores.delayMilliseconds[this.position] ?? 0;
  }

  /** Cost of an uncached prompt token, which delays the call and all others at the target. */
  get prefillMillisecondsPerToken(): number {
    return this.#scores.prefillMillisecondsPerToken[this.position] ?? 0;
  }

  /** This instance's share of the window, without borrowed slots. */
  get share(): number {
    return this.#share;
  }

  get isServing(): boolean {
    return this.#spec.state === 'serving';
  }

  get isResumable(): boolean {
    return this.#spec.backend.kind === 'engine' && this.#spec.backend.resumable;
  }

  /** Whether the slots could change with time alone, as of the last {@link refresh}. */
  get changesWithTime(): boolean {
    return this.#changesWithTime;
  }

  /** Applies a changed declaration or a changed split of the window. */
  configure(spec: TargetSpec, share: number, fleetSize: number): void {
    this.#spec = spec;
    this.#share = share;
    this.#fleetSize = fleetSize;
    this.refresh();
  }

  /** Raises an empty share to one slot, if the instance has no share in a pool. */
  ensureOneSlot(): void {
    this.#share = Math.max(1, this.#share);
    this.refresh();
  }

  /** Returns whether the target serves a model; services accept any. */
  serves(model: string | undefined): boolean {
    const { backend } = this.#spec;
    return backend.kind === 'service' || (model !== undefined && backend.models.includes(model));
  }

  /** Recomputes slots and costs; called after each change. */
  refresh(): void {
    const { availabilityZone, otherZoneMilliseconds } = this.#settings;
    const { prefillMillisecondsPerToken, runningCallMilliseconds, delayToOthersWeight } =
      this.#settings;
    const networkMilliseconds =
      this.#spec.availabilityZone === availabilityZone ? 0 : otherZoneMilliseconds;
    const allowed = this.health.allowance(this.#share + this.#computeBorrowedSlots());
    this.#changesWithTime = this.health.state().kind !== 'healthy' || this.load.hasReport;
    const scores = this.#scores;
    scores.openSlots[this.position] = this.isServing ? Math.max(0, allowed - this.inFlight) : 0;
    scores.prefillMillisecondsPerToken[this.position] =
      prefillMillisecondsPerToken * (1 + this.load.calls() * delayToOthersWeight);
    scores.delayMilliseconds[this.position] =
      networkMilliseconds +
      this.load.calls() * runningCallMilliseconds +
      this.load.prefillTokens() * prefillMillisecondsPerToken;
  }

  /** Frees the position of a target that is no longer declared. */
  retire(): void {
    this.#scores.free(this.position);
  }

  /** Returns the slots beyond the share that the last report allows. */
  #computeBorrowedSlots(): number {
    const { reportExpiryMilliseconds, borrowedShare } = this.#settings;
    const { window } = this.#spec;
    const allowance = this.load.computeAllowance({
      window,
      instances: this.#fleetSize,
      expiryMilliseconds: reportExpiryMilliseconds,
    });
    const maximumBorrowed = Math.min(Math.floor(window * borrowedShare), window - this.#share);
    return Math.max(0, Math.min(maximumBorrowed, allowance - this.#share));
  }
}
