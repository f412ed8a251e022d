import { ConcurrencyLimit } from './concurrencyLimit';
import { ReportTrust } from './reportTrust';
import type { TargetLoadView } from './targetLoadView';

/** One incarnation of a target. */
export interface CapacityKey {
  /** Differs between incarnations with the same id. */
  readonly incarnation: string;
  /** Announced concurrent requests. */
  readonly slots: number;
}

/** What was learned of a target. */
export interface CapacityEstimate {
  /** Concurrent requests that the target handles well. */
  readonly capacity: number;
  /** Duration of work relative to the usual duration. */
  readonly slowness: number;
}

/** An answer of a target. */
export interface CapacityAnswer {
  /** Load of the target when it answered, by the report in the answer. */
  readonly view: TargetLoadView;
  readonly milliseconds: number;
  /** Usual duration of such requests at all targets. */
  readonly usualMilliseconds: number;
}

interface LearnedTarget {
  readonly limit: ConcurrencyLimit;
  readonly trust: ReportTrust;
}

const PERCENT = 100;

/** Reported durations change many times per second. */
const REPORT_LIFETIME_MILLISECONDS = 1_000;

/** Bounds of what a report or an answer can say; a target never loses all requests by it. */
const MINIMUM_SLOWDOWN = 0.5;
const MAXIMUM_SLOWDOWN = 8;

type Report = Pick<TargetLoadView, 'durationPercent' | 'reportAgeMilliseconds'>;

const bound = (slowdown: number): number =>
  Math.min(MAXIMUM_SLOWDOWN, Math.max(MINIMUM_SLOWDOWN, slowdown));

/** Returns the slowdown by a recent report; undefined if there is none. */
const toSlowdown = ({ durationPercent, reportAgeMilliseconds }: Report): number | undefined =>
  durationPercent === undefined || reportAgeMilliseconds > REPORT_LIFETIME_MILLISECONDS
    ? undefined
    : bound(durationPercent / PERCENT);

/** Learns for each incarnation of a target how many requests it handles well, and at which speed. */
export class TargetCapacities {
  readonly #targets = new Map<string, LearnedTarget>();

  /** Records a successful answer. */
  observeAnswer(key: CapacityKey, answer: CapacityAnswer): void {
    if (answer.usualMilliseconds <= 0) return;
    const target = this.#getOrCreate(key);
    const slowdown = bound(answer.milliseconds / answer.usualMilliseconds);
    target.limit.observeAnswer(answer.view.own + answer.view.others, slowdown);
    const reported = toSlowdown(answer.view);
    if (reported !== undefined) target.trust.observe(slowdown, reported);
  }

  /** Records that a target refused a request because it was full. */
  observeRefusal(key: CapacityKey, running: number): void {
    this.#getOrCreate(key).limit.observeRefusal(running);
  }

  /**
   * Returns the estimate for a target.
   *
   * @param learnedSlowness Slowness by the answers alone.
   * @param report Corrects that slowness as far as the target's reports were right before.
   */
  estimate(key: CapacityKey, learnedSlowness: number, report: Report): CapacityEstimate {
    const target = this.#targets.get(key.incarnation);
    if (!target) return { capacity: key.slots, slowness: learnedSlowness };
    const { capacity } = target.limit;
    const { trust } = target.trust;
    const reported = trust > 0 ? toSlowdown(report) : undefined;
    if (reported === undefined) return { capacity, slowness: learnedSlowness };
    return { capacity, slowness: learnedSlowness ** (1 - trust) * reported ** trust };
  }

  /** Removes the incarnations that no longer exist. */
  retain(isKnown: (incarnation: string) => boolean): void {
    [...this.#targets.keys()]
      .filter((incarnation) => !isKnown(incarnation))
      .forEach((incarnation) => this.#targets.delete(incarnation));
  }

  #getOrCreate({ incarnation, slots }: CapacityKey): LearnedTarget {
    const existing = this.#targets.get(incarnation);
    if (existing) return existing;
    const target: LearnedTarget = {
      limit: new ConcurrencyLimit(slots),
      trust: new ReportTrust(),
    };
    this.#targets.set(incarnation, target);
    return target;
  }
}
