import type { RatePart } from '@limpetnotch/admission';

/** Which part of every organisation's rate an instance holds. */
export type Holding = Pick<RatePart, 'holders' | 'rank'>;
