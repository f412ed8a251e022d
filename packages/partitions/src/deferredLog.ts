import { parseWith } from '@limpetnotch/store';
import { z } from 'zod';

/**
 * Position of deferred records, sent as the first text before them: the peer channel carries
 * texts only and need not know of it.
 */
export const logPositionSchema = z.object({
  /** Incarnation of the witness that is meant, or that answers. */
  witness: z.string(),
  /** Epoch whose owner deferred the records. */
  epoch: z.number().int().nonnegative(),
  /** Number of the journal's records that the owner knows to be in the store. */
  committed: z.number().int().nonnegative(),
  /** Number of the first record that follows, counted over the whole journal. */
  first: z.number().int().nonnegative(),
  /** Number of the request; of two logs of an epoch, the one of the later request holds. */
  request: z.number().int().nonnegative(),
});

export type LogPosition = z.infer<typeof logPositionSchema>;

/** Records that a witness keeps for an owner. */
export interface DeferredLog {
  readonly position: LogPosition;
  /** JSON texts of the records. */
  readonly texts: readonly string[];
}

/** Joins a log into the texts that the peer channel carries. */
export const encodeLog = ({ position, texts }: DeferredLog): readonly string[] => [
  JSON.stringify(position),
  ...texts,
];

/** Reads a log from the texts of a message; `undefined` where the position is missing. */
export const decodeLog = ([first, ...texts]: readonly string[]): DeferredLog | undefined => {
  const position = first === undefined ? undefined : parseWith(logPositionSchema, first);
  return position && { position, texts };
};
