import type { RangeRequest } from './gatewayRequests';

const ZERO_BYTE = Buffer.from([0]);

/**
 * Returns a predicate for the base64 keys of a range. A range without an end holds only its key; an
 * end of one zero byte means no upper bound.
 */
export const createKeyMatcher = ({
  key,
  range_end: end,
}: RangeRequest): ((key: string) => boolean) => {
  if (end === '') return (candidate) => candidate === key;
  const rangeStart = Buffer.from(key, 'base64');
  const rangeEnd = Buffer.from(end, 'base64');
  const isUnbounded = rangeEnd.equals(ZERO_BYTE);
  return (candidate) => {
    const bytes = Buffer.from(candidate, 'base64');
    if (Buffer.compare(bytes, rangeStart) < 0) return false;
    return isUnbounded || Buffer.compare(bytes, rangeEnd) < 0;
  };
};
