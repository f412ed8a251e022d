import type { RangeRequest } from './gatewayRequests';

const ZERO_BYTE = Buffer.from([0]);

/** Returns whether a key in base64 lies in a range; without an end, only the key itself does. */
export const keyMatcher = ({ key, range_end: end }: RangeRequest): ((key: string) => boolean) => {
  if (end === '') return (candidate) => candidate === key;
  const first = Buffer.from(key, 'base64');
  const last = Buffer.from(end, 'base64');
  const isOpen = last.equals(ZERO_BYTE);
  return (candidate) => {
    const bytes = Buffer.from(candidate, 'base64');
    if (Buffer.compare(bytes, first) < 0) return false;
    return isOpen || Buffer.compare(bytes, last) < 0;
  };
};
