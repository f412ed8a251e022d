import { encodeBase64 } from './base64';

/** A range of keys in the form the gateway accepts, with both ends in base64. */
export interface KeyRange {
  readonly key: string;
  readonly range_end: string;
}

const HIGHEST_BYTE = 0xff;
const ALL_KEYS: KeyRange = {
  key: Buffer.from([0]).toString('base64'),
  range_end: Buffer.from([0]).toString('base64'),
};

/** Returns the range of all keys that start with a prefix; the empty prefix selects every key. */
export const toKeyRange = (prefix: string): KeyRange => {
  const end = Buffer.from(prefix, 'utf8');
  let { length } = end;
  while (length > 0 && end[length - 1] === HIGHEST_BYTE) length -= 1;
  if (length === 0) return ALL_KEYS;
  end[length - 1] = (end[length - 1] ?? 0) + 1;
  return { key: encodeBase64(prefix), range_end: end.subarray(0, length).toString('base64') };
};
