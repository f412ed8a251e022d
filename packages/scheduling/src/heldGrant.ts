import type { ScheduledCall } from './scheduledCall';
import type { ServiceMeter } from './serviceMeter';
import type { AttemptOutcome, TargetGrant } from './targetGrant';
import type { TargetView } from './targetView';

/** Options of a {@link HeldGrant}. */
export interface HeldGrantOptions {
  readonly call: ScheduledCall;
  readonly view: TargetView;
  readonly priority: number;
  readonly queuedMilliseconds: number;
  readonly uncachedPromptTokens: number;
  readonly expectedOutputTokens: number;
  readonly isSuspect: boolean;
  readonly meter: ServiceMeter;
  /** Called once, after the slot was released. */
  readonly onRelease: (outcome: AttemptOutcome) => void;
}

/** A slot that a call holds; updates the target's view and the service charged as the call runs. */
export class HeldGrant implements TargetGrant {
  readonly target: string;

  readonly address: string;

  readonly availabilityZone: string;

  readonly priority: number;

  readonly queuedMilliseconds: number;

  readonly resumable: boolean;

  readonly #options: HeldGrantOptions;

  #pendingPrefillTokens: number;

  #outputTokens = 0;

  #released = false;

  constructor(options: HeldGrantOptions) {
    const { view } = options;
    this.#options = options;
    this.target = view.name;
    this.address = view.spec.address;
    this.availabilityZone = view.spec.availabilityZone;
    this.priority = options.priority;
    this.queuedMilliseconds = options.queuedMilliseconds;
    this.resumable = view.isResumable;
    this.#pendingPrefillTokens = options.uncachedPromptTokens;
    options.meter.set(options.uncachedPromptTokens, options.expectedOutputTokens);
    view.inFlight += 1;
    view.suspectCalls += options.isSuspect ? 1 : 0;
    view.load.recordChange(1, this.#pendingPrefillTokens);
    view.refresh();
  }

  progress(outputTokens: number): void {
    if (this.#released) return;
    this.#finishPrefill();
    this.#outputTokens += outputTokens;
    const { meter, uncachedPromptTokens, expectedOutputTokens } = this.#options;
    if (this.#outputTokens > expectedOutputTokens) {
      meter.set(uncachedPromptTokens, this.#outputTokens);
    }
  }

  release(outcome: AttemptOutcome): void {
    if (this.#released) return;
    this.#released = true;
    const { view, isSuspect, onRelease } = this.#options;
    this.#finishPrefill();
    this.#settleService(outcome);
    view.inFlight -= 1;
    view.suspectCalls -= isSuspect ? 1 : 0;
    view.load.recordChange(-1, 0);
    view.refresh();
    onRelease(outcome);
  }

  #finishPrefill(): void {
    if (this.#pendingPrefillTokens === 0) return;
    this.#options.view.load.recordChange(0, -this.#pendingPrefillTokens);
    this.#pendingPrefillTokens = 0;
    this.#options.view.refresh();
  }

  #settleService(outcome: AttemptOutcome): void {
    const { meter, uncachedPromptTokens } = this.#options;
    switch (outcome.kind) {
      case 'answered':
        meter.set(outcome.promptTokens - outcome.cachedTokens, outcome.outputTokens);
        break;
      case 'refused':
      case 'not-sent':
        meter.set(0, 0);
        break;
      case 'broken':
      case 'cancelled':
        meter.set(uncachedPromptTokens, this.#outputTokens);
        break;
    }
  }
}
