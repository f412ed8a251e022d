import type { Rate } from '@limpetnotch/declarations';
import { delay } from '@limpetnotch/supervision';
import { RateFleet } from './rateFleet';
import type { RateLoadFigures } from './rateLoad';
import { runRateLoad } from './rateLoad';

const ENTRIES = 4;
const ORGANISATIONS = 200;
const RATE: Rate = { requestsPerSecond: 5, burst: 10 };
const LOAD_SHARE = 0.5;
const FILL_MILLISECONDS = 2_000;
const LOSS_MILLISECONDS = 5_000;

/** Share of refused requests, where every request was within its organisation's rate. */
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

const MAXIMUM_REFUSED_SHARES = { calm: 0, takeover: 0.001 } as const;

/** Measures refusals by four instances, which all stay up or lose one owner during the load. */
export const measureRefusals = async (options: RefusalOptions): Promise<RefusalFigures> => {
  const fleet = new RateFleet({ entries: ENTRIES, owners: ENTRIES, rate: RATE });
  await delay(FILL_MILLISECONDS);
  const running = runRateLoad({
    fleet,
    organisations: ORGANISATIONS,
    rate: RATE,
    requestsPerSecond: LOAD_SHARE * ORGANISATIONS * RATE.requestsPerSecond,
    seconds: options.seconds,
    seed: options.seed,
  });
  if (options.situation === 'takeover') {
    await delay(LOSS_MILLISECONDS);
    await fleet.removeOwner('owner-0', options.leaseMilliseconds);
  }
  const figures = await running;
  fleet.stop();
  const refusedShare = figures.refused / figures.offered;
  const { situation } = options;
  return {
    ...figures,
    situation,
    refusedShare,
    goalMet: refusedShare <= MAXIMUM_REFUSED_SHARES[situation],
  };
};
