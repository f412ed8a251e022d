import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Rate } from '@limpetnotch/declarations';
import { RateFleet } from './rateFleet';

const RATE: Rate = { requestsPerSecond: 1, burst: 10 };

/** Memory of active organisations, summed over one entry and their owner. */
export interface MemoryFigures {
  readonly organisations: number;
  readonly bytesPerOrganisation: number;
  readonly megabytes: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;

const collectGarbage = (): void => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
};

/** Measures the heap used after each organisation has sent one request through the same entry. */
export const measureMemory = async (organisations: number): Promise<MemoryFigures> => {
  const fleet = new RateFleet({ entries: 1, owners: 1, rate: RATE });
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  await Promise.all(
    Array.from({ length: organisations }, async (_, index) => {
      const { signal } = new AbortController();
      await fleet.entries[0]?.acquire(`organisation-${index}`, signal);
    }),
  );
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  fleet.stop();
  return {
    organisations,
    bytesPerOrganisation: Math.round(bytes / organisations),
    megabytes: Math.round((bytes * 10) / BYTES_PER_MEGABYTE) / 10,
  };
};
