import type { Rate } from '@limpetnotch/declarations';
import { RateFleet } from './rateFleet';
import type { RateFleetOptions } from './rateFleet';
import { runRateLoad } from './rateLoad';

const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const WARM_UP_SECONDS = 1;
const MINIMUM_REQUESTS_PER_SECOND = 10;

/** A load for which the messages are measured. */
export interface SlicePoint {
  readonly entries: number;
  readonly owners: number;
  readonly organisations: number;
  readonly requestsPerSecond: number;
  readonly seconds: number;
}

/** Messages and processor time under a load; entries and owners run in the same process. */
export interface SliceFigures extends SlicePoint {
  readonly exchangesPerSecond: number;
  readonly exchangesPerRequest: number;
  /** Processor time of the process per request, including the load generator. */
  readonly processorMicrosecondsPerRequest: number;
  readonly refused: number;
  readonly excess: number;
}

const computeRate = ({ requestsPerSecond, organisations }: SlicePoint): Rate => {
  const share = requestsPerSecond / organisations;
  return {
    requestsPerSecond: Math.max(MINIMUM_REQUESTS_PER_SECOND, 2 * share),
    burst: Math.max(10, Math.ceil(4 * share)),
  };
};

const getProcessorSeconds = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_SECOND;
};

/** Measures the exchanges for a load within the rates. */
export const measureSlices = async (point: SlicePoint, seed: number): Promise<SliceFigures> => {
  const rate = computeRate(point);
  const options: RateFleetOptions = { entries: point.entries, owners: point.owners, rate };
  const fleet = new RateFleet(options);
  const load = { fleet, organisations: point.organisations, rate, seed };
  const { requestsPerSecond, seconds } = point;
  await runRateLoad({ ...load, requestsPerSecond, seconds: WARM_UP_SECONDS });
  const [exchanges, processor, start] = [fleet.exchanges, getProcessorSeconds(), performance.now()];
  const figures = await runRateLoad({ ...load, requestsPerSecond, seconds });
  const elapsed = (performance.now() - start) / MILLISECONDS_PER_SECOND;
  const exchanged = fleet.exchanges - exchanges;
  const used = (getProcessorSeconds() - processor) * MICROSECONDS_PER_SECOND;
  fleet.stop();
  return {
    ...point,
    exchangesPerSecond: Math.round(exchanged / elapsed),
    exchangesPerRequest: Math.round((exchanged * 100) / figures.offered) / 100,
    processorMicrosecondsPerRequest: Math.round(used / figures.offered),
    refused: figures.refused,
    excess: Math.round(figures.excess * 1_000) / 1_000,
  };
};
