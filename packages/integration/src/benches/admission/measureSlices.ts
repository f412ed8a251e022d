import type { Rate } from '@limpetnotch/declarations';
import { RateFleet } from './rateFleet';
import type { RateFleetOptions } from './rateFleet';
import { runRateLoad } from './rateLoad';

const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const WARM_SECONDS = 1;
const LEAST_RATE = 10;

/** One point of the message slopes. */
export interface SlicePoint {
  readonly entries: number;
  readonly owners: number;
  readonly organisations: number;
  readonly requestsPerSecond: number;
  readonly seconds: number;
}

/** Messages and processor time of a point; entries and owners share the process. */
export interface SliceFigures extends SlicePoint {
  readonly exchangesPerSecond: number;
  readonly exchangesPerRequest: number;
  /** Processor time of the whole process for one request, load generator included. */
  readonly processorMicrosecondsPerRequest: number;
  readonly refused: number;
  readonly excess: number;
}

const rateOf = ({ requestsPerSecond, organisations }: SlicePoint): Rate => {
  const share = requestsPerSecond / organisations;
  return {
    requestsPerSecond: Math.max(LEAST_RATE, 2 * share),
    burst: Math.max(10, Math.ceil(4 * share)),
  };
};

const processorSeconds = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_SECOND;
};

/** Measures the exchanges that a load within the rates takes. */
export const measureSlices = async (point: SlicePoint, seed: number): Promise<SliceFigures> => {
  const rate = rateOf(point);
  const options: RateFleetOptions = { entries: point.entries, owners: point.owners, rate };
  const fleet = new RateFleet(options);
  const load = { fleet, organisations: point.organisations, rate, seed };
  const { requestsPerSecond, seconds } = point;
  await runRateLoad({ ...load, requestsPerSecond, seconds: WARM_SECONDS });
  const [exchanges, processor, start] = [fleet.exchanges, processorSeconds(), performance.now()];
  const figures = await runRateLoad({ ...load, requestsPerSecond, seconds });
  const elapsed = (performance.now() - start) / MILLISECONDS_PER_SECOND;
  const exchanged = fleet.exchanges - exchanges;
  const used = (processorSeconds() - processor) * MICROSECONDS_PER_SECOND;
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
