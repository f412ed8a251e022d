import type { Rate } from '@limpetnotch/declarations';
import { delay } from '@limpetnotch/supervision';
import { RandomSource } from '../../experiments/randomSource';
import type { RateFleet } from './rateFleet';

const MILLISECONDS_PER_SECOND = 1_000;
const TICK_MILLISECONDS = 5;

/** Options of {@link runRateLoad}. */
export interface RateLoadOptions {
  readonly fleet: RateFleet;
  readonly organisations: number;
  readonly rate: Rate;
  /** Requests per second of all organisations; those beyond an organisation's rate aren't sent. */
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Outcome of a load. */
export interface RateLoadFigures {
  readonly offered: number;
  readonly refused: number;
  /** Requests above rate times window plus burst in the worst window of any organisation. */
  readonly excess: number;
}

/** Exact token bucket that keeps the offered requests within the rate. */
class ExactBucket {
  #level: number;

  #updatedMilliseconds = performance.now();

  readonly #rate: Rate;

  constructor(rate: Rate) {
    this.#rate = rate;
    this.#level = 0;
  }

  tryTake(now: number): boolean {
    const gained =
      ((now - this.#updatedMilliseconds) * this.#rate.requestsPerSecond) / MILLISECONDS_PER_SECOND;
    this.#level = Math.min(this.#rate.burst, this.#level + gained);
    this.#updatedMilliseconds = now;
    if (this.#level < 1) return false;
    this.#level -= 1;
    return true;
  }
}

const computeWorstExcess = (admitted: readonly number[], rate: Rate): number => {
  let lowest = Number.POSITIVE_INFINITY;
  let worst = Number.NEGATIVE_INFINITY;
  admitted.forEach((at, index) => {
    const height = index - (at * rate.requestsPerSecond) / MILLISECONDS_PER_SECOND;
    lowest = Math.min(lowest, height);
    worst = Math.max(worst, height - lowest + 1 - rate.burst);
  });
  return worst;
};

/** Sends random requests that are all within their organisation's rate to random entries. */
export const runRateLoad = async (options: RateLoadOptions): Promise<RateLoadFigures> => {
  const { fleet, organisations, rate } = options;
  const random = new RandomSource(options.seed);
  const buckets = Array.from({ length: organisations }, () => new ExactBucket(rate));
  const admitted = Array.from({ length: organisations }, (): number[] => []);
  const outcomes: PromiseLike<void>[] = [];
  let refused = 0;
  const send = (organisation: number): void => {
    const entry = fleet.entries[Math.floor(random.uniform() * fleet.entries.length)];
    if (!entry || !buckets[organisation]?.tryTake(performance.now())) return;
    const { signal } = new AbortController();
    const outcome = entry.acquire(`organisation-${organisation}`, signal).match(
      () => {
        admitted[organisation]?.push(performance.now());
      },
      () => {
        refused += 1;
      },
    );
    outcomes.push(outcome);
  };
  const start = performance.now();
  const end = start + options.seconds * MILLISECONDS_PER_SECOND;
  const meanGap = MILLISECONDS_PER_SECOND / options.requestsPerSecond;
  let next = start + random.exponential(meanGap);
  while (performance.now() < end) {
    while (next <= performance.now()) {
      send(Math.floor(random.uniform() * organisations));
      next += random.exponential(meanGap);
    }
    await delay(TICK_MILLISECONDS);
  }
  await Promise.all(outcomes);
  const excess = Math.max(...admitted.map((times) => computeWorstExcess(times, rate)));
  return { offered: outcomes.length, refused, excess };
};
