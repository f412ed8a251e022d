import { randomInt } from 'node:crypto';
import type { Rate } from '@limpetnotch/declarations';
import type { Metrics } from '@limpetnotch/observability';
import { SLICE_LIFETIME_MILLISECONDS } from '../slice';
import type { SliceDemand, SliceGrant } from '../slice';
import { RateBucket } from './rateBucket';
import { ServiceTotals } from './serviceTotals';

const MILLISECONDS_PER_SECOND = 1_000;
const IDLE_MILLISECONDS = 5_000;
const SWEPT_PER_DEMAND = 2;
const RETRY_MARGIN_MILLISECONDS = 1;
const MAXIMUM_FIRST_GRANT = 2 ** 47;

/** Options of a {@link RateOwner}. */
export interface RateOwnerOptions {
  /** Returns the declared rate of an organisation; `undefined` if it is not declared. */
  readonly rateOf: (organisation: string) => Rate | undefined;
  /** Unix time in milliseconds until which the previous owner's slices may still be used. */
  readonly grantsFromMilliseconds: number;
  /** Whether this instance still owns the partition; checked at each exchange. */
  readonly mayAct: () => boolean;
  readonly metrics: Metrics;
}

interface OrganisationRecord {
  readonly bucket: RateBucket;
  readonly service: ServiceTotals;
  rate: Rate;
  exchangedMilliseconds: number;
}

const toCount = (value: number): number =>
  Number.isFinite(value) ? Math.max(0, Math.floor(value)) : 0;

const toHeldCount = ({ held }: SliceDemand): number =>
  held >= 0 ? Math.ceil(held) : Number.POSITIVE_INFINITY;

/**
 * Lends the rates of a partition's organisations to entries. Every bucket starts empty, no sooner
 * than `grantsFromMilliseconds`; a bucket that is full again and idle is removed.
 */
export class RateOwner {
  readonly #options: RateOwnerOptions;

  readonly #startMilliseconds: number;

  readonly #records = new Map<string, OrganisationRecord>();

  #nextGrant = 1 + randomInt(MAXIMUM_FIRST_GRANT);

  constructor(options: RateOwnerOptions) {
    this.#options = options;
    const wait = Math.max(0, options.grantsFromMilliseconds - Date.now());
    this.#startMilliseconds = performance.now() + wait;
  }

  /** Number of organisations with state in memory. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Answers an entry's demands. Undeclared organisations are omitted from the answer, and all
   * organisations before this instance may grant or after it has lost the partition. The entry then
   * waits for an owner.
   */
  exchange(entry: string, demands: readonly SliceDemand[]): readonly SliceGrant[] {
    if (!this.#mayGrant()) {
      this.#options.metrics.increment('rates.exchanges-without-grant');
      return [];
    }
    const nowMilliseconds = performance.now();
    const grants = demands.flatMap((demand) => this.#answerDemand(entry, demand, nowMilliseconds));
    this.#sweep(nowMilliseconds, demands.length * SWEPT_PER_DEMAND);
    return grants;
  }

  #mayGrant(): boolean {
    const hasStarted =
      Date.now() >= this.#options.grantsFromMilliseconds &&
      performance.now() >= this.#startMilliseconds;
    return hasStarted && this.#options.mayAct();
  }

  #answerDemand(entry: string, demand: SliceDemand, nowMilliseconds: number): SliceGrant[] {
    const rate = this.#options.rateOf(demand.organisation);
    if (!rate) return [];
    const record = this.#getRecord(demand.organisation, rate, nowMilliseconds);
    const { bucket } = record;
    bucket.settle(entry, demand.lastGrant, toHeldCount(demand));
    const wanted = toCount(demand.wanted);
    const granted = bucket.isValid() ? Math.min(wanted, bucket.available()) : 0;
    if (!bucket.isValid()) this.#options.metrics.increment('rates.unsound-buckets');
    this.#nextGrant += 1;
    const grant = this.#nextGrant;
    const expiresMilliseconds = nowMilliseconds + SLICE_LIFETIME_MILLISECONDS;
    if (granted > 0) bucket.lend({ entry, grant, tokens: granted, expiresMilliseconds });
    this.#options.metrics.increment('rates.granted', granted);
    return [
      {
        organisation: demand.organisation,
        grant,
        granted,
        expiresInMilliseconds: SLICE_LIFETIME_MILLISECONDS,
        retryAfterMilliseconds: granted < wanted ? RateOwner.#computeRetryAfter(bucket) : 0,
        remoteServiceTokens: record.service.report(entry, toCount(demand.serviceTokens)),
      },
    ];
  }

  #getRecord(organisation: string, rate: Rate, nowMilliseconds: number): OrganisationRecord {
    const record = this.#records.get(organisation) ?? this.#createRecord(rate, nowMilliseconds);
    this.#records.set(organisation, record);
    record.bucket.advance(nowMilliseconds);
    record.exchangedMilliseconds = nowMilliseconds;
    if (record.rate !== rate) record.bucket.changeRate(rate);
    record.rate = rate;
    return record;
  }

  #createRecord(rate: Rate, nowMilliseconds: number): OrganisationRecord {
    const seconds = (nowMilliseconds - this.#startMilliseconds) / MILLISECONDS_PER_SECOND;
    const bucket = new RateBucket(rate, seconds * rate.requestsPerSecond, nowMilliseconds);
    const service = new ServiceTotals();
    return { bucket, service, rate, exchangedMilliseconds: nowMilliseconds };
  }

  /** Checks a number of records: removes the idle ones, and moves the others to the end. */
  #sweep(nowMilliseconds: number, count: number): void {
    let remaining = count;
    for (const [organisation, record] of this.#records) {
      if (remaining === 0) return;
      remaining -= 1;
      this.#records.delete(organisation);
      if (!RateOwner.#isIdle(record, nowMilliseconds)) this.#records.set(organisation, record);
    }
  }

  static #isIdle(record: OrganisationRecord, nowMilliseconds: number): boolean {
    if (nowMilliseconds - record.exchangedMilliseconds < IDLE_MILLISECONDS) return false;
    record.bucket.advance(nowMilliseconds);
    return record.bucket.isFull();
  }

  static #computeRetryAfter(bucket: RateBucket): number {
    return Math.ceil(bucket.millisecondsUntil(1)) + RETRY_MARGIN_MILLISECONDS;
  }
}
