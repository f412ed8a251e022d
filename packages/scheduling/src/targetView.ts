import type { TargetSpec } from '@limpetnotch/declarations';
import { LoadView } from './loadView';
import type { SchedulerSettings } from './schedulerSettings';
import { TargetHealth } from './targetHealth';

/** What this instance knows of one target. */
export class TargetView {
  readonly name: string;

  readonly load = new LoadView();

  readonly health: TargetHealth;

  /** Calls of this instance under way. */
  inFlight = 0;

  /** Calls under way whose request was under way at a crash before. */
  suspects = 0;

  /** Calls that this instance may send now; kept current by {@link refresh}. */
  openSlots = 0;

  /** Expected delay by the work that is there and by the zone; kept by {@link refresh}. */
  delayMilliseconds = 0;

  /** Cost of one prompt token that is not cached: it delays the call and all others there. */
  prefillMillisecondsPerToken = 0;

  readonly #settings: SchedulerSettings;

  #spec: TargetSpec;

  #share = 0;

  #fleetSize = 1;

  #changesWithTime = false;

  constructor(name: string, spec: TargetSpec, settings: SchedulerSettings) {
    this.name = name;
    this.#spec = spec;
    this.#settings = settings;
    this.health = new TargetHealth(settings);
  }

  get spec(): TargetSpec {
    return this.#spec;
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
    this.openSlots = this.isServing ? Math.max(0, allowed - this.inFlight) : 0;
    this.prefillMillisecondsPerToken =
      prefillMillisecondsPerToken * (1 + this.load.calls() * delayToOthersWeight);
    this.delayMilliseconds =
      zone +
      this.load.calls() * runningCallMilliseconds +
      this.load.prefillTokens() * prefillMillisecondsPerToken;
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
