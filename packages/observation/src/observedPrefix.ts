import type { PrefixListener } from '@limpetnotch/store';
import type { ObservationLimits } from './decisions/computeObservationLimits';
import { PrefixView } from './decisions/prefixView';
import type { PrefixEvidence } from './decisions/relayTrust';
import type { PrefixUpdate } from './relayMessage';
import type { StoreChange } from './storeChange';

/** Parts of an {@link ObservedPrefix}. */
export interface ObservedPrefixParts {
  readonly listener: PrefixListener;
  readonly limits: ObservationLimits;
  /** Earliest arrival of the response of the store that is handled now. */
  readonly arrivalMilliseconds: () => number;
  /** Called after each response of the store with whether it brought a change, and after a loss. */
  readonly onStoreResponse: (hasChanged: boolean) => void;
}

/** One prefix, as this instance and the readers that it follows see it. */
export class ObservedPrefix {
  readonly view = new PrefixView();

  readonly #parts: ObservedPrefixParts;

  /** Until then nothing was known, and so nothing out of date. */
  readonly #createdAtMilliseconds = performance.now();

  #storeAtMilliseconds = -Infinity;

  #relayedAtMilliseconds = -Infinity;

  #isStoreLost = true;

  #resets = 0;

  #hasChanged = false;

  /** Start of the loss of the store that lasts; undefined if none does. */
  #lostAtMilliseconds: number | undefined;

  #lastLossMilliseconds = 0;

  #regainedAtMilliseconds = -Infinity;

  constructor(parts: ObservedPrefixParts) {
    this.#parts = parts;
  }

  /** The last loss of the store that has ended, as it is relayed. */
  get lastLoss(): Pick<PrefixUpdate, 'lostMilliseconds' | 'regainedMilliseconds'> {
    if (this.#lastLossMilliseconds === 0) return { lostMilliseconds: 0, regainedMilliseconds: 0 };
    return {
      lostMilliseconds: Math.round(this.#lastLossMilliseconds),
      regainedMilliseconds: Math.round(performance.now() - this.#regainedAtMilliseconds),
    };
  }

  /** Changes when the view no longer continues what it was, so that streams must start again. */
  get resets(): number {
    return this.#resets;
  }

  get limits(): ObservationLimits {
    return this.#parts.limits;
  }

  /** Whether this instance has read the prefix itself and not lost the store since. */
  get isReadHere(): boolean {
    return !this.#isStoreLost;
  }

  /** Time since the store confirmed the state to this instance itself. */
  get ageMilliseconds(): number {
    return performance.now() - this.#storeAtMilliseconds;
  }

  get evidence(): PrefixEvidence {
    return {
      anyAtMilliseconds: Math.max(
        this.#createdAtMilliseconds,
        this.#storeAtMilliseconds,
        this.#relayedAtMilliseconds,
      ),
      relayedAtMilliseconds: this.#relayedAtMilliseconds,
      trustMilliseconds: this.limits.trustMilliseconds,
    };
  }

  /** Records that this instance no longer reads the prefix itself. */
  stopReading(): void {
    this.#isStoreLost = true;
    this.#lostAtMilliseconds = undefined;
  }

  /** Receives what this instance reads itself. */
  get storeListener(): PrefixListener {
    const { listener } = this.#parts;
    return {
      replaced: (entries, revision) => {
        // A store that has lost its history; a list that only was overtaken by relayed changes is ignored.
        if (revision < this.view.revision && !this.#isRelayCurrent) {
          this.view.reset();
          this.#resets += 1;
        }
        if (!this.view.replace(entries, revision)) return;
        this.#hasChanged = true;
        listener.replaced(this.view.entries, revision);
      },
      put: ({ key, value, revision }) => this.#apply({ key, value, revision }),
      removed: (key, revision) => this.#apply({ key, value: undefined, revision }),
      confirmed: (revision) => {
        this.#endLoss();
        this.view.confirm(revision);
        this.#storeAtMilliseconds = this.#parts.arrivalMilliseconds();
        this.#isStoreLost = false;
        listener.confirmed(this.view.revision);
        this.#reportResponse();
      },
      lost: (detail) => {
        this.#isStoreLost = true;
        this.#lostAtMilliseconds ??= performance.now();
        if (!this.#isRelayCurrent) listener.lost(detail);
        this.#hasChanged = true;
        this.#reportResponse();
      },
    };
  }

  /** Applies what a reader relayed, which the store had confirmed at a time. */
  applyUpdate(update: PrefixUpdate, evidenceAtMilliseconds: number): void {
    const { listener } = this.#parts;
    this.#reportRelayedLoss(update);
    if (update.isComplete) {
      const entries = update.changes.flatMap(({ key, value, revision }) =>
        value === undefined ? [] : [{ key, value, revision }],
      );
      if (this.view.replace(entries, update.revision)) {
        listener.replaced(this.view.entries, update.revision);
      }
    } else {
      update.changes.forEach((change) => this.#apply(change));
    }
    this.view.confirm(update.revision);
    if (evidenceAtMilliseconds <= this.#relayedAtMilliseconds) return;
    this.#relayedAtMilliseconds = evidenceAtMilliseconds;
    if (this.#isRelayCurrent) listener.confirmed(this.view.revision);
  }

  get #isRelayCurrent(): boolean {
    return performance.now() - this.#relayedAtMilliseconds < this.limits.trustMilliseconds;
  }

  #endLoss(): void {
    if (this.#lostAtMilliseconds === undefined) return;
    const now = performance.now();
    this.#lastLossMilliseconds = now - this.#lostAtMilliseconds;
    this.#regainedAtMilliseconds = now;
    this.#lostAtMilliseconds = undefined;
  }

  /**
   * Reports a loss of the store that a reader had since the state was last confirmed here, so that
   * announcements which lapsed in it are treated as after a loss of this instance's own.
   */
  #reportRelayedLoss({ lostMilliseconds, regainedMilliseconds }: PrefixUpdate): void {
    if (lostMilliseconds === 0) return;
    const regainedAtMilliseconds = performance.now() - regainedMilliseconds;
    if (this.evidence.anyAtMilliseconds >= regainedAtMilliseconds) return;
    this.#parts.listener.lost('a reader had lost the store', lostMilliseconds);
  }

  #reportResponse(): void {
    const hasChanged = this.#hasChanged;
    this.#hasChanged = false;
    this.#parts.onStoreResponse(hasChanged);
  }

  #apply(change: StoreChange): void {
    if (!this.view.apply(change)) return;
    this.#hasChanged = true;
    const { key, value, revision } = change;
    if (value === undefined) this.#parts.listener.removed(key, revision);
    else this.#parts.listener.put({ key, value, revision });
  }
}
