import type { RatePart } from '@limpetnotch/admission';

/** Share of an instance in the rate of every organisation. */
export type RateShare = Pick<RatePart, 'holders' | 'rank'>;
