import type { LimitedRequest, LimitedThroughput } from '@limpetnotch/scheduling';
import { LimitedQueue, ReturnSchedule } from '@limpetnotch/scheduling';
import type { FleetTarget } from '../targets/fleetTarget';
import type { LimitGate } from './limitGate';
import { RecentCounts } from './recentCounts';

/** Time over which the rate of sent requests is measured. */
const MEASURED_MILLISECONDS = 2_000;

/** Time in which an organisation's count of sent requests halves. */
const SHARE_HALF_LIFE_MILLISECONDS = 2_000;

/** Shortest pause between two requests that leave the queue. */
const SHORTEST_PAUSE_MILLISECONDS = 5;

const MILLISECONDS_PER_SECOND = 1_000;

/** How the wait of a request ended. */
export type WaitEnd = 'turn' | 'refused' | 'ended';

/** A request in the queue of a service. */
export interface QueuedRequest extends LimitedRequest {
  readonly finish: (end: WaitEnd) => void;
}

/** Requests that wait while all targets of one service are at their limits. */
export class LimitedService {
  readonly #gate: LimitGate;

  readonly #queue = new LimitedQueue<QueuedRequest>();

  readonly #returns = new ReturnSchedule();

  readonly #organisations = new RecentCounts(SHARE_HALF_LIFE_MILLISECONDS);

  #targets: readonly FleetTarget[] = [];

  #instanceCount = 1;

  #sentAt: number[] = [];

  #timer: NodeJS.Timeout | undefined;

  constructor(gate: LimitGate) {
    this.#gate = gate;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#queue.size;
  }

  /** Sets the targets that may serve the next requests, and the instances that share them. */
  setTargets(targets: readonly FleetTarget[], instanceCount: number): void {
    this.#targets = targets;
    this.#instanceCount = instanceCount;
  }

  /** What waiting requests can expect: the measured rate, or an equal share of the limits. */
  get throughput(): LimitedThroughput {
    const nowMilliseconds = performance.now();
    this.#sentAt = this.#sentAt.filter((at) => at > nowMilliseconds - MEASURED_MILLISECONDS);
    const measured = (this.#sentAt.length * MILLISECONDS_PER_SECOND) / MEASURED_MILLISECONDS;
    const limits = this.#targets.map((target) => this.#gate.getRequestsPerSecond(target) ?? 0);
    const share = limits.reduce((sum, limit) => sum + limit, 0) / this.#instanceCount;
    const waits = this.#targets.map((target) => this.#gate.getWaitMilliseconds(target));
    return {
      nowMilliseconds,
      requestsPerSecond: Math.max(measured, share),
      firstMilliseconds: Math.min(...waits),
    };
  }

  /** Requests of an organisation that were sent recently. */
  getOrganisationShare(organisation: string): number {
    return this.#organisations.get(organisation);
  }

  /** Records that a request was sent to a target at its limit. */
  recordSent(organisation: string): void {
    this.#sentAt.push(performance.now());
    this.#organisations.add(organisation);
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

  #schedule(): void {
    if (this.#timer || this.#queue.size === 0) return;
    const { firstMilliseconds } = this.throughput;
    const pause = Math.max(SHORTEST_PAUSE_MILLISECONDS, firstMilliseconds);
    this.#timer = setTimeout(() => this.#advance(), pause);
  }

  #advance(): void {
    this.#timer = undefined;
    const { throughput } = this;
    if (throughput.firstMilliseconds <= 0) this.#queue.takeFirst()?.finish('turn');
    this.#queue.refuseHopeless(throughput).forEach(({ finish }) => finish('refused'));
    this.#schedule();
  }
}
