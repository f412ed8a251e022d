import type { Rate } from '@limpetnotch/declarations';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { AdmissionError } from '../admissionError';
import { SLICE_LIFE_MILLISECONDS } from '../slice';
import type { SliceDemand, SliceGrant } from '../slice';
import { ArrivalEstimate } from './arrivalEstimate';
import { HeldSlices } from './heldSlices';
import { after } from './instant';
import type { Instant } from './instant';
import { WaitingLine } from './waitingLine';

const MILLISECONDS_PER_SECOND = 1_000;
const PREFETCH_MILLISECONDS = 50;
const LOW_MILLISECONDS = 25;
const LONGEST_POLL_MILLISECONDS = 100;
const ABSENT_POLL_MILLISECONDS = 50;
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
  /** Time that a request waits for a token. */
  readonly holdMilliseconds: number;
  /** Time that a request waits while the organisation has no owner that answers. */
  readonly absentHoldMilliseconds: number;
  /** Hands the queue to the task that exchanges with its owner. */
  readonly dispatch: (queue: OrganisationQueue) => void;
  /** Told while the organisation has had no owner for long. */
  readonly onLongAbsence: () => void;
  /** Whether owners were lost a while ago, so that what waited for them uses up the rates. */
  readonly isRecovering: () => boolean;
  readonly onRemoteService: (organisation: string, tokens: number) => void;
}

/** One organisation's requests, slices and service at one entry. */
export class OrganisationQueue {
  readonly #options: OrganisationQueueOptions;

  readonly #held = new HeldSlices();

  readonly #arrivals = new ArrivalEstimate();

  readonly #line = new WaitingLine((ahead) => this.#expectedWait(ahead));

  #rate: Rate;

  #lastGrant = 0;

  #wanted = 0;

  #isShort = false;

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

  /** Lets a request in, at once or within the hold, or refuses it. */
  acquire(rate: Rate, signal: AbortSignal): ResultAsync<void, AdmissionError> {
    this.#rate = rate;
    this.#usedMilliseconds = performance.now();
    this.#arrivals.add();
    if (this.#line.size === 0 && this.#held.take()) {
      this.#afterUse();
      return okAsync(undefined);
    }
    const wait = this.#expectedWait(this.#line.size);
    const hold = this.#hold();
    if (wait > hold || signal.aborted) {
      const retryAfterMilliseconds = Math.ceil(wait);
      return errAsync({ kind: 'rate-exceeded', retryAfterMilliseconds });
    }
    const outcome = this.#line.join(hold, signal);
    this.#pollWithin(Math.min(wait, LONGEST_POLL_MILLISECONDS));
    return new ResultAsync(outcome);
  }

  /** Adds service to the next report. */
  addService(tokens: number): void {
    this.#usedMilliseconds = performance.now();
    this.#serviceTokens += tokens;
    this.#pollWithin(SERVICE_REPORT_MILLISECONDS);
  }

  /** Builds the demand of the next exchange; `undefined` where there is nothing to ask or report. */
  buildDemand(): SliceDemand | undefined {
    const held = this.#held.count();
    const prefetch = Math.floor(this.#expected(PREFETCH_MILLISECONDS) - held);
    this.#wanted = Math.min(this.#rate.burst, this.#line.size + Math.max(0, prefetch));
    this.#sentServiceTokens = Math.min(Math.floor(this.#serviceTokens), MAXIMUM_SERVICE_TOKENS);
    if (this.#wanted === 0 && this.#sentServiceTokens === 0 && !this.#mustReportUse()) {
      this.#isDispatched = false;
      return undefined;
    }
    this.#held.noteReport();
    return {
      organisation: this.organisation,
      wanted: this.#wanted,
      serviceTokens: this.#sentServiceTokens,
      held,
      lastGrant: this.#lastGrant,
    };
  }

  /** Takes the owner's answer to a demand that was sent at an instant. */
  deliver(grant: SliceGrant, sent: Instant): void {
    const now = performance.now();
    this.#isDispatched = false;
    this.#held.add(Math.floor(grant.granted), after(sent, grant.expiresInMilliseconds));
    this.#lastGrant = grant.grant;
    this.#serviceTokens -= this.#sentServiceTokens;
    this.#isShort = grant.granted < this.#wanted;
    this.#blockedUntilMilliseconds = this.#isShort ? now + grant.retryAfterMilliseconds : 0;
    if (this.#absentSinceMilliseconds !== undefined) {
      this.#recoversUntilMilliseconds = now + this.#options.absentHoldMilliseconds;
    }
    this.#absentSinceMilliseconds = undefined;
    this.#line.serve(() => this.#held.take());
    this.#line.refuseHopeless();
    if (this.#line.size === 0) this.#recoversUntilMilliseconds = 0;
    if (grant.remoteServiceTokens > 0) {
      this.#options.onRemoteService(this.organisation, grant.remoteServiceTokens);
    }
    this.#pollAfter(grant);
  }

  /** Notes that no owner answered; requests wait longer until one does. */
  noteAbsence(): void {
    this.#isDispatched = false;
    const now = performance.now();
    this.#absentSinceMilliseconds ??= now;
    if (now - this.#absentSinceMilliseconds >= LONG_ABSENCE_MILLISECONDS) {
      this.#options.onLongAbsence();
    }
    this.#blockedUntilMilliseconds = 0;
    this.#line.extend(this.#options.absentHoldMilliseconds);
    if (this.#line.size > 0 || this.#serviceTokens >= 1) this.#pollWithin(ABSENT_POLL_MILLISECONDS);
  }

  /** Whether nothing waits, is held or is to be reported. */
  isIdle(): boolean {
    const isQuiet = performance.now() - this.#usedMilliseconds >= IDLE_MILLISECONDS;
    const hasWork = this.#isDispatched || this.#line.size > 0 || this.#serviceTokens >= 1;
    return isQuiet && !hasWork && this.#held.count() === 0;
  }

  /** Refuses what waits, and asks for nothing more. */
  close(): void {
    clearTimeout(this.#pollTimer);
    this.#line.refuseAll(ABSENT_RETRY_AFTER_MILLISECONDS);
  }

  #hold(): number {
    const isHeldLonger =
      this.#absentSinceMilliseconds !== undefined ||
      performance.now() < this.#recoversUntilMilliseconds ||
      this.#options.isRecovering();
    return isHeldLonger ? this.#options.absentHoldMilliseconds : this.#options.holdMilliseconds;
  }

  /** Where the owner did not say, the first burst is taken as granted. */
  #expectedWait(ahead: number): number {
    const perToken = MILLISECONDS_PER_SECOND / this.#rate.requestsPerSecond;
    const blocked = this.#blockedUntilMilliseconds - performance.now();
    if (blocked > 0) return blocked + ahead * perToken;
    const beyondBurst = Math.max(0, ahead + 1 - this.#rate.burst) * perToken;
    return this.#absentSinceMilliseconds !== undefined
      ? Math.max(beyondBurst, ABSENT_RETRY_AFTER_MILLISECONDS)
      : beyondBurst;
  }

  #afterUse(): void {
    const low = this.#expected(LOW_MILLISECONDS);
    const isLow = low >= 1 && this.#held.count() < low;
    if (isLow || this.#mustReportUse()) this.#pollWithin(0);
  }

  /** Requests to borrow for ahead of their arrival; none while the rate is used up or tight. */
  #expected(milliseconds: number): number {
    return this.#isShort || this.#isTight() ? 0 : this.#arrivals.expected(milliseconds);
  }

  /** Whether the burst is so small that tokens lent but not known as used would lower the rate. */
  #isTight(): boolean {
    const { requestsPerSecond, burst } = this.#rate;
    const lent = (requestsPerSecond * SLICE_LIFE_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    return burst < TIGHT_FACTOR * lent;
  }

  #mustReportUse(): boolean {
    return this.#isTight() && this.#held.hasUnreportedUse();
  }

  #pollAfter(grant: SliceGrant): void {
    if (this.#line.size > 0) {
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
