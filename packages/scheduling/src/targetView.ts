import type { TargetSpec } from '@limpetnotch/declarations';
import { LoadView } from './loadView';
import type { SchedulerSettings } from './schedulerSettings';
import { TargetHealth } from './targetHealth';
import type { TargetScores } from './targetScores';

/** What this instance knows of one target. */
export class TargetView {
  readonly name: string;

  readonly load = new LoadView();

  readonly health: TargetHealth;

  /** Calls of this instance under way. */
  inFlight = 0;

  /** Calls under way whose request was under way at a crash before. */
  suspects = 0;

  /** Position of this target's figures in the scores, which {@link refresh} keeps current. */
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

  /** Expected delay by the work that is there and by the zone. */
  get delayMilliseconds(): number {
    return this.#scores.delayMilliseconds[this.position] ?? 0;
  }

  /** Cost of one prompt token that is not cached: it delays the call and all others there. */
  get prefillMillisecondsPerToken(): number {
    return this.#scores.prefillMillisecondsPerToken[this.position] ?? 0;
  }

  /** This instance's part of the window, without what is borrowed. */
  get share(): number {
    return this.#share;
  }

  get isServing(): boolean {
    return this.#spec.state === 'serving';
  }

  get isResumable(): boolean {
    return this.#spec.backend.kind === 'engine' && this.#spec.backend.resumable;
  }

  /** Whether the slots can change with time alone since the last {@link refresh}. */
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

  /** Raises an empty share to one slot, where the instance has no other in a pool. */
  keepOneSlot(): void {
    this.#share = Math.max(1, this.#share);
    this.refresh();
  }

  /** Returns whether the target runs a model; services run any. */
  serves(model: string | undefined): boolean {
    const { backend } = this.#spec;
    return backend.kind === 'service' || (model !== undefined && backend.models.includes(model));
  }

  /** Works out slots and queue anew; called after each change. */
  refresh(): void {
    const { availabilityZone, otherZoneMilliseconds } = this.#settings;
    const { prefillMillisecondsPerToken, runningCallMilliseconds, delayToOthersWeight } =
      this.#settings;
    const zone = this.#spec.availabilityZone === availabilityZone ? 0 : otherZoneMilliseconds;
    const allowed = this.health.allowance(this.#share + this.#borrowed());
    this.#changesWithTime = this.health.state().kind !== 'healthy' || this.load.hasReport;
    const scores = this.#scores;
    scores.openSlots[this.position] = this.isServing ? Math.max(0, allowed - this.inFlight) : 0;
    scores.prefillMillisecondsPerToken[this.position] =
      prefillMillisecondsPerToken * (1 + this.load.calls() * delayToOthersWeight);
    scores.delayMilliseconds[this.position] =
      zone +
      this.load.calls() * runningCallMilliseconds +
      this.load.prefillTokens() * prefillMillisecondsPerToken;
  }

  /** Gives the position back once the target is no longer declared. */
  retire(): void {
    this.#scores.free(this.position);
  }

  /** Calls beyond the share that the last report leaves room for. */
  #borrowed(): number {
    const { reportExpiryMilliseconds, borrowedShare } = this.#settings;
    const { window } = this.#spec;
    const allowance = this.load.reportedAllowance({
      window,
      instances: this.#fleetSize,
      expiryMilliseconds: reportExpiryMilliseconds,
    });
    const most = Math.min(Math.floor(window * borrowedShare), window - this.#share);
    return Math.max(0, Math.min(most, allowance - this.#share));
  }
}
