import type { LimitedRequest, LimitedThroughput } from '@limpetnotch/scheduling';
import { LimitedQueue, LimitPreference, ReturnSchedule } from '@limpetnotch/scheduling';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetLoads } from '../targets/targetLoads';
import type { LimitGate } from './limitGate';
import { RecentCounts } from './recentCounts';

/** Time over which the rate of sent requests is measured. */
const MEASURED_MILLISECONDS = 2_000;

/** Time for which a slot is assumed to be taken until a rate was measured. */
const SLOT_MILLISECONDS = 250;

/** Time in which an organisation's count of sent requests halves. */
const SHARE_HALF_LIFE_MILLISECONDS = 2_000;

/** Shortest pause between two requests that leave the queue. */
const SHORTEST_PAUSE_MILLISECONDS = 5;

/** Interval at which the load of targets without a limit is checked. */
const LOAD_CHECK_MILLISECONDS = 25;

const MILLISECONDS_PER_SECOND = 1_000;

/** How the wait of a request ended. */
export type WaitEnd = 'turn' | 'refused' | 'ended';

/** A request in the queue of a service. */
export interface QueuedRequest extends LimitedRequest {
  readonly finish: (end: WaitEnd) => void;
}

/** Dependencies of a {@link LimitedService}. */
export interface LimitedServiceParts {
  readonly gate: LimitGate;
  readonly loads: TargetLoads;
  /** Number of instances that share the targets. */
  readonly instanceCount: () => number;
}

/**
 * One service of which some targets are limited. While some name limits, the others get the rest of
 * the demand, so they count as having room only while they have free slots. A cold target leaves the
 * others as they were. Requests wait while no target has room.
 */
export class LimitedService {
  readonly #parts: LimitedServiceParts;

  readonly #queue = new LimitedQueue<QueuedRequest>();

  readonly #returns = new ReturnSchedule();

  readonly #organisations = new RecentCounts(SHARE_HALF_LIFE_MILLISECONDS);

  readonly #preference = new LimitPreference();

  #targets: readonly FleetTarget[] = [];

  /** Whether a target names a limit, so that the others have to take its part of the demand. */
  #isReduced = false;

  #sentAt: number[] = [];

  #firstSentAtMilliseconds = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(parts: LimitedServiceParts) {
    this.#parts = parts;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#queue.size;
  }

  /** Sets the targets that may serve the next requests. */
  setTargets(targets: readonly FleetTarget[]): void {
    this.#targets = targets;
    this.#isReduced = targets.some((target) => this.#parts.gate.isReduced(target));
  }

  /** Whether a target can take a request now, as far as it is known. */
  hasRoom(target: FleetTarget): boolean {
    const { gate, loads } = this.#parts;
    if (gate.isLimited(target)) return gate.getWaitMilliseconds(target) <= 0;
    return !this.#isReduced || loads.countInFlight(target.id) < target.slots;
  }

  /** What waiting requests can expect: the measured rate, or an equal share of an estimate. */
  get throughput(): LimitedThroughput {
    const nowMilliseconds = performance.now();
    this.#sentAt = this.#sentAt.filter((at) => at > nowMilliseconds - MEASURED_MILLISECONDS);
    const isMeasured = this.#firstSentAtMilliseconds < nowMilliseconds - MEASURED_MILLISECONDS;
    const measured = (this.#sentAt.length * MILLISECONDS_PER_SECOND) / MEASURED_MILLISECONDS;
    return {
      nowMilliseconds,
      requestsPerSecond: isMeasured
        ? Math.max(
            measured,
            this.#sumOverTargets(() => 0),
          )
        : this.#sumOverTargets(
            ({ slots }) => (slots * MILLISECONDS_PER_SECOND) / SLOT_MILLISECONDS,
          ),
      firstMilliseconds: Math.min(
        LOAD_CHECK_MILLISECONDS,
        ...this.#targets.map((target) => this.#getWaitMilliseconds(target)),
      ),
    };
  }

  /** Requests of an organisation that were sent recently. */
  getOrganisationShare(organisation: string): number {
    return this.#organisations.get(organisation);
  }

  /** Records that a request is sent to a target of the service. */
  recordSent(organisation: string): void {
    const now = performance.now();
    if (this.#sentAt.length === 0) this.#firstSentAtMilliseconds = now;
    this.#sentAt.push(now);
    this.#organisations.add(organisation);
  }

  /** Whether a request with this cost at a target without a limit should use a limited one. */
  prefersLimit(cost: number): boolean {
    const { requestsPerSecond } = this.throughput;
    return this.#preference.prefersLimit(cost, this.#sumOverTargets(() => 0) / requestsPerSecond);
  }

  /** Records that a request at a target of the service has ended. */
  recordEnd(): void {
    if (this.#queue.size > 0) this.#advance();
  }

  /** Returns the delay after which a refused request should return, in milliseconds. */
  computeReturn(longestMilliseconds: number): number {
    const { nowMilliseconds, requestsPerSecond } = this.throughput;
    const waitingRequests = this.#queue.size;
    return this.#returns.next({
      nowMilliseconds,
      requestsPerSecond,
      waitingRequests,
      longestMilliseconds,
    });
  }

  /** Adds a request to the queue; refuses those that can't be sent in time. */
  add(request: QueuedRequest): void {
    this.#queue.add(request, this.throughput).forEach(({ finish }) => finish('refused'));
    this.#schedule();
  }

  remove(request: QueuedRequest): void {
    this.#queue.remove(request);
  }

  /** Sums the share of this instance in the limits and, where there are none, in an estimate. */
  #sumOverTargets(estimate: (target: FleetTarget) => number): number {
    const { gate, instanceCount } = this.#parts;
    const rates = this.#targets.map(
      (target) => gate.getRequestsPerSecond(target) ?? estimate(target),
    );
    return rates.reduce((sum, rate) => sum + rate, 0) / instanceCount();
  }

  #getWaitMilliseconds(target: FleetTarget): number {
    const { gate } = this.#parts;
    if (this.hasRoom(target)) return 0;
    return gate.isLimited(target) ? gate.getWaitMilliseconds(target) : LOAD_CHECK_MILLISECONDS;
  }

  #schedule(): void {
    if (this.#timer || this.#queue.size === 0) return;
    const pause = Math.max(SHORTEST_PAUSE_MILLISECONDS, this.throughput.firstMilliseconds);
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#advance();
    }, pause);
  }

  #advance(): void {
    const isAnyReady = this.#targets.some((target) => this.hasRoom(target));
    if (isAnyReady) this.#queue.takeFirst()?.finish('turn');
    this.#queue.refuseBeyondDeadline(this.throughput).forEach(({ finish }) => finish('refused'));
    this.#schedule();
  }
}
