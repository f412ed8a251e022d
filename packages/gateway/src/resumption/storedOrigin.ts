import type { StoreEntry } from '@limpetnotch/store';
import { parseJson } from '@limpetnotch/store';
import { z } from 'zod';
import { toDigestKey } from '../util/toDigestKey';
import type { StreamOrigin } from './streamOrigin';

/** Outside the prefix that all instances watch. */
const ORIGIN_PREFIX = 'stream-origins/';

const storedOriginSchema = z.object({ service: z.string(), version: z.string() });

/** Origin of a stream as stored; one without a version can't go on anywhere and isn't stored. */
export type StoredOrigin = z.infer<typeof storedOriginSchema>;

/** Returns the key in the store for a stream. */
export const toOriginKey = (streamKey: string): string => toDigestKey(ORIGIN_PREFIX, streamKey);

/** Parses a stored origin; returns undefined if the value is malformed. */
export const parseStoredOrigin = ({ value }: StoreEntry): StreamOrigin | undefined =>
  parseJson(storedOriginSchema, value);
