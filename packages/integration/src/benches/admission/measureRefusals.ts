import type { Rate } from '@limpetnotch/declarations';
import { delay } from '@limpetnotch/supervision';
import { RateFleet } from './rateFleet';
import type { RateLoadFigures } from './rateLoad';
import { runRateLoad } from './rateLoad';

const ENTRIES = 4;
const ORGANISATIONS = 200;
const RATE: Rate = { requestsPerSecond: 5, burst: 10 };
const LOAD = 0.5;
const FILL_MILLISECONDS = 2_000;
const LOSS_MILLISECONDS = 5_000;

/** Share refused of requests that were all within their organisation's rate. */
export interface RefusalFigures extends RateLoadFigures {
  readonly situation: 'calm' | 'takeover';
  readonly refusedShare: number;
  readonly goalMet: boolean;
}

/** Options of {@link measureRefusals}. */
export interface RefusalOptions {
  readonly situation: RefusalFigures['situation'];
  readonly seconds: number;
  readonly leaseMilliseconds: number;
  readonly seed: number;
}

const GOALS = { calm: 0, takeover: 0.001 } as const;

/** Measures refusals of four instances, all there or one of them lost on the way. */
export const measureRefusals = async (options: RefusalOptions): Promise<RefusalFigures> => {
  const fleet = new RateFleet({ entries: ENTRIES, owners: ENTRIES, rate: RATE });
  await delay(FILL_MILLISECONDS);
  const running = runRateLoad({
    fleet,
    organisations: ORGANISATIONS,
    rate: RATE,
    requestsPerSecond: LOAD * ORGANISATIONS * RATE.requestsPerSecond,
    seconds: options.seconds,
    seed: options.seed,
  });
  if (options.situation === 'takeover') {
    await delay(LOSS_MILLISECONDS);
    await fleet.loseOwner('owner-0', options.leaseMilliseconds);
  }
  const figures = await running;
  fleet.stop();
  const refusedShare = figures.refused / figures.offered;
  const { situation } = options;
  return { ...figures, situation, refusedShare, goalMet: refusedShare <= GOALS[situation] };
};
