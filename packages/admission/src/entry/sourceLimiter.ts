import type { Rate } from '@limpetnotch/declarations';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AdmissionError } from '../admissionError';

const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_MAXIMUM_SOURCES = 50_000;
const SWEPT_PER_REQUEST = 2;

interface SourceBucket {
  level: number;
  updatedMilliseconds: number;
  rate: Rate;
}

/** Options of a {@link SourceLimiter}. */
export interface SourceLimiterOptions {
  /** Maximum number of buckets; beyond it the least recently used is evicted. 50,000 by default. */
  readonly maximumSources?: number;
}

const refill = (bucket: SourceBucket, now: number): void => {
  const elapsed = Math.max(0, now - bucket.updatedMilliseconds);
  const gained = (elapsed * bucket.rate.requestsPerSecond) / MILLISECONDS_PER_SECOND;
  Object.assign(bucket, {
    level: Math.min(bucket.rate.burst, bucket.level + gained),
    updatedMilliseconds: now,
  });
};

/**
 * Token bucket for each route and source address, for routes that need no key. The limit applies to
 * this instance only. Memory is bounded: a bucket that is full again is removed.
 */
export class SourceLimiter {
  readonly #buckets = new Map<string, SourceBucket>();

  readonly #maximumSources: number;

  constructor(options: SourceLimiterOptions = {}) {
    this.#maximumSources = options.maximumSources ?? DEFAULT_MAXIMUM_SOURCES;
  }

  /** Number of buckets in memory. */
  get size(): number {
    return this.#buckets.size;
  }

  /** Admits a request from a source to a route, or rejects it with the time to the next token. */
  acquire(routeName: string, source: string, rate: Rate): Result<void, AdmissionError> {
    const now = performance.now();
    const bucket = this.#getBucket(`${routeName} ${source}`, rate, now);
    const isAdmitted = bucket.level >= 1;
    if (isAdmitted) bucket.level -= 1;
    this.#sweep(now);
    if (!isAdmitted) {
      const missing = (1 - bucket.level) / rate.requestsPerSecond;
      const retryAfterMilliseconds = Math.ceil(missing * MILLISECONDS_PER_SECOND);
      return err({ kind: 'rate-exceeded', retryAfterMilliseconds });
    }
    return ok(undefined);
  }

  /** Returns a refilled bucket, and moves it to the end: the first is the least recently used. */
  #getBucket(key: string, rate: Rate, now: number): SourceBucket {
    const existing = this.#buckets.get(key);
    const bucket = existing ?? { level: rate.burst, updatedMilliseconds: now, rate };
    refill(bucket, now);
    bucket.rate = rate;
    bucket.level = Math.min(bucket.level, rate.burst);
    this.#buckets.delete(key);
    this.#buckets.set(key, bucket);
    return bucket;
  }

  #sweep(now: number): void {
    let remaining = SWEPT_PER_REQUEST;
    for (const [key, bucket] of this.#buckets) {
      if (remaining === 0) return;
      remaining -= 1;
      refill(bucket, now);
      const isFull = bucket.level >= bucket.rate.burst;
      if (isFull || this.#buckets.size > this.#maximumSources) this.#buckets.delete(key);
      else return;
    }
  }
}
