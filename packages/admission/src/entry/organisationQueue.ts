import type { Rate } from '@limpetnotch/declarations';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { AdmissionError } from '../admissionError';
import { SLICE_LIFETIME_MILLISECONDS } from '../slice';
import type { SliceDemand, SliceGrant } from '../slice';
import { ArrivalEstimate } from './arrivalEstimate';
import { HeldSlices } from './heldSlices';
import { addMilliseconds } from './instant';
import type { Instant } from './instant';
import { WaitQueue } from './waitQueue';

const MILLISECONDS_PER_SECOND = 1_000;
const PREFETCH_MILLISECONDS = 50;
const LOW_SUPPLY_MILLISECONDS = 25;
const LONGEST_POLL_MILLISECONDS = 100;
const RETRY_POLL_MILLISECONDS = 50;
const LONG_ABSENCE_MILLISECONDS = 1_000;
const ABSENT_RETRY_AFTER_MILLISECONDS = 1_000;
const SERVICE_REPORT_MILLISECONDS = 100;
const TIGHT_FACTOR = 2;
const IDLE_MILLISECONDS = 5_000;
const MAXIMUM_SERVICE_TOKENS = 2 ** 32 - 1;

/** Options of an {@link OrganisationQueue}. */
export interface OrganisationQueueOptions {
  readonly organisation: string;
  readonly rate: Rate;
  /** Maximum time that a request waits for a token. */
  readonly holdMilliseconds: number;
  /** Maximum time that a request waits while no owner of the organisation responds. */
  readonly absentHoldMilliseconds: number;
  /** Passes the queue to the task that exchanges demands and grants with its owner. */
  readonly dispatch: (queue: OrganisationQueue) => void;
  /** Called on each failed exchange once the organisation has had no owner for a long time. */
  readonly onLongAbsence: () => void;
  /**
   * Whether owners were unavailable until recently, so that the requests that waited for them now
   * use up the rates.
   */
  readonly isRecovering: () => boolean;
  readonly onRemoteService: (organisation: string, tokens: number) => void;
}

/** One organisation's waiting requests, slices and unreported service at one entry. */
export class OrganisationQueue {
  readonly #options: OrganisationQueueOptions;

  readonly #held = new HeldSlices();

  readonly #arrivals = new ArrivalEstimate();

  readonly #queue = new WaitQueue((ahead) => this.#estimateWait(ahead));

  #rate: Rate;

  #lastGrant = 0;

  #wanted = 0;

  #hasShortfall = false;

  #blockedUntilMilliseconds = 0;

  #absentSinceMilliseconds: number | undefined;

  #recoversUntilMilliseconds = 0;

  #serviceTokens = 0;

  #sentServiceTokens = 0;

  #isDispatched = false;

  #pollTimer: NodeJS.Timeout | undefined;

  #pollMilliseconds = Number.POSITIVE_INFINITY;

  #usedMilliseconds = performance.now();

  constructor(options: OrganisationQueueOptions) {
    this.#options = options;
    this.#rate = options.rate;
  }

  get organisation(): string {
    return this.#options.organisation;
  }

  /** Admits a request, immediately or within the maximum wait, or rejects it. */
  acquire(rate: Rate, signal: AbortSignal): ResultAsync<void, AdmissionError> {
    this.#rate = rate;
    this.#usedMilliseconds = performance.now();
    this.#arrivals.add();
    if (this.#queue.size === 0 && this.#held.tryAcquire()) {
      this.#pollAfterUse();
      return okAsync(undefined);
    }
    const wait = this.#estimateWait(this.#queue.size);
    const hold = this.#computeHold();
    if (wait > hold || signal.aborted) {
      const retryAfterMilliseconds = Math.ceil(wait);
      return errAsync({ kind: 'rate-exceeded', retryAfterMilliseconds });
    }
    const outcome = this.#queue.enqueue(hold, signal);
    this.#pollWithin(Math.min(wait, LONGEST_POLL_MILLISECONDS));
    return new ResultAsync(outcome);
  }

  /** Adds service to the next report. */
  addService(tokens: number): void {
    this.#usedMilliseconds = performance.now();
    this.#serviceTokens += tokens;
    this.#pollWithin(SERVICE_REPORT_MILLISECONDS);
  }

  /**
   * Builds the demand of the next exchange; `undefined` if there is nothing to request or report.
   */
  buildDemand(): SliceDemand | undefined {
    const held = this.#held.count();
    const prefetch = Math.floor(this.#estimateArrivals(PREFETCH_MILLISECONDS) - held);
    this.#wanted = Math.min(this.#rate.burst, this.#queue.size + Math.max(0, prefetch));
    this.#sentServiceTokens = Math.min(Math.floor(this.#serviceTokens), MAXIMUM_SERVICE_TOKENS);
    if (this.#wanted === 0 && this.#sentServiceTokens === 0 && !this.#mustReportUse()) {
      this.#isDispatched = false;
      return undefined;
    }
    this.#held.markReported();
    return {
      organisation: this.organisation,
      wanted: this.#wanted,
      serviceTokens: this.#sentServiceTokens,
      held,
      lastGrant: this.#lastGrant,
    };
  }

  /** Applies the owner's grant for a demand that was sent at the given instant. */
  applyGrant(grant: SliceGrant, sentAt: Instant): void {
    const now = performance.now();
    this.#isDispatched = false;
    this.#held.add(Math.floor(grant.granted), addMilliseconds(sentAt, grant.expiresInMilliseconds));
    this.#lastGrant = grant.grant;
    this.#serviceTokens -= this.#sentServiceTokens;
    this.#hasShortfall = grant.granted < this.#wanted;
    this.#blockedUntilMilliseconds = this.#hasShortfall ? now + grant.retryAfterMilliseconds : 0;
    if (this.#absentSinceMilliseconds !== undefined) {
      this.#recoversUntilMilliseconds = now + this.#options.absentHoldMilliseconds;
    }
    this.#absentSinceMilliseconds = undefined;
    this.#queue.serve(() => this.#held.tryAcquire());
    this.#queue.rejectBeyondDeadline();
    if (this.#queue.size === 0) this.#recoversUntilMilliseconds = 0;
    if (grant.remoteServiceTokens > 0) {
      this.#options.onRemoteService(this.organisation, grant.remoteServiceTokens);
    }
    this.#pollAfterGrant(grant);
  }

  /** Marks the owner as unresponsive; requests wait longer until an owner responds. */
  markOwnerAbsent(): void {
    this.#isDispatched = false;
    const now = performance.now();
    this.#absentSinceMilliseconds ??= now;
    if (now - this.#absentSinceMilliseconds >= LONG_ABSENCE_MILLISECONDS) {
      this.#options.onLongAbsence();
    }
    this.#blockedUntilMilliseconds = 0;
    this.#queue.extend(this.#options.absentHoldMilliseconds);
    if (this.#queue.size > 0 || this.#serviceTokens >= 1) this.#pollWithin(RETRY_POLL_MILLISECONDS);
  }

  /** Whether no request waits, no token is held and no service has to be reported. */
  isIdle(): boolean {
    const isQuiet = performance.now() - this.#usedMilliseconds >= IDLE_MILLISECONDS;
    const hasWork = this.#isDispatched || this.#queue.size > 0 || this.#serviceTokens >= 1;
    return isQuiet && !hasWork && this.#held.count() === 0;
  }

  /** Rejects the waiting requests, and stops polling the owner. */
  close(): void {
    clearTimeout(this.#pollTimer);
    this.#queue.rejectAll(ABSENT_RETRY_AFTER_MILLISECONDS);
  }

  #computeHold(): number {
    const isHeldLonger =
      this.#absentSinceMilliseconds !== undefined ||
      performance.now() < this.#recoversUntilMilliseconds ||
      this.#options.isRecovering();
    return isHeldLonger ? this.#options.absentHoldMilliseconds : this.#options.holdMilliseconds;
  }

  /**
   * Returns the expected wait. Without information from the owner, a full burst is assumed to be
   * available.
   */
  #estimateWait(ahead: number): number {
    const perToken = MILLISECONDS_PER_SECOND / this.#rate.requestsPerSecond;
    const blocked = this.#blockedUntilMilliseconds - performance.now();
    if (blocked > 0) return blocked + ahead * perToken;
    const beyondBurst = Math.max(0, ahead + 1 - this.#rate.burst) * perToken;
    return this.#absentSinceMilliseconds !== undefined
      ? Math.max(beyondBurst, ABSENT_RETRY_AFTER_MILLISECONDS)
      : beyondBurst;
  }

  #pollAfterUse(): void {
    const low = this.#estimateArrivals(LOW_SUPPLY_MILLISECONDS);
    const isLow = low >= 1 && this.#held.count() < low;
    if (isLow || this.#mustReportUse()) this.#pollWithin(0);
  }

  /** Returns the arrivals to prefetch tokens for; none if the rate is used up or the burst small. */
  #estimateArrivals(milliseconds: number): number {
    return this.#hasShortfall || this.#isTight() ? 0 : this.#arrivals.estimate(milliseconds);
  }

  /**
   * Whether the burst is so small that lent tokens whose use has not been reported yet would lower
   * the rate.
   */
  #isTight(): boolean {
    const { requestsPerSecond, burst } = this.#rate;
    const lent = (requestsPerSecond * SLICE_LIFETIME_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    return burst < TIGHT_FACTOR * lent;
  }

  #mustReportUse(): boolean {
    return this.#isTight() && this.#held.hasUnreportedUse();
  }

  #pollAfterGrant(grant: SliceGrant): void {
    if (this.#queue.size > 0) {
      const wait = grant.granted > 0 ? 0 : grant.retryAfterMilliseconds;
      this.#pollWithin(Math.min(wait, LONGEST_POLL_MILLISECONDS));
      return;
    }
    if (this.#mustReportUse()) this.#pollWithin(0);
    if (this.#serviceTokens >= 1) this.#pollWithin(SERVICE_REPORT_MILLISECONDS);
  }

  #pollWithin(milliseconds: number): void {
    const pollMilliseconds = performance.now() + milliseconds;
    if (this.#isDispatched || this.#pollMilliseconds <= pollMilliseconds) return;
    clearTimeout(this.#pollTimer);
    this.#pollMilliseconds = pollMilliseconds;
    if (milliseconds <= 0) this.#poll();
    else this.#pollTimer = setTimeout(() => this.#poll(), Math.ceil(milliseconds));
  }

  #poll(): void {
    this.#pollMilliseconds = Number.POSITIVE_INFINITY;
    this.#isDispatched = true;
    this.#options.dispatch(this);
  }
}
