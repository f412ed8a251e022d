import { parseJson } from '@limpetnotch/store';
import { z } from 'zod';

/**
 * Position of deferred records in the journal. It is sent as the first text before them, since the
 * messages of the peer channel consist of texts only.
 */
export const logPositionSchema = z.object({
  /** Incarnation of the addressed witness in a request, and of the sender in a reply. */
  witness: z.string(),
  /** Epoch whose owner deferred the records. */
  epoch: z.number().int().nonnegative(),
  /** Number of records of the journal that the owner knows to be committed. */
  committed: z.number().int().nonnegative(),
  /** Number of the first record that follows, counted over the whole journal. */
  first: z.number().int().nonnegative(),
  /** Number of the request; of two logs of an epoch, the one with the higher number is valid. */
  request: z.number().int().nonnegative(),
});

export type LogPosition = z.infer<typeof logPositionSchema>;

/** Records that a witness stores for an owner. */
export interface DeferredLog {
  readonly position: LogPosition;
  /** JSON texts of the records. */
  readonly texts: readonly string[];
}

/** Converts a log to the texts of a peer message. */
export const encodeLog = ({ position, texts }: DeferredLog): readonly string[] => [
  JSON.stringify(position),
  ...texts,
];

/**
 * Parses a log from the texts of a peer message; `undefined` if the position is missing or invalid.
 */
export const decodeLog = ([encodedPosition, ...texts]: readonly string[]):
  DeferredLog | undefined => {
  const position =
    encodedPosition === undefined ? undefined : parseJson(logPositionSchema, encodedPosition);
  return position && { position, texts };
};
