/** One header as received from a caller. */
export interface RawHeader {
  readonly name: string;
  readonly value: string;
}

/** Pairs the names and values of Node's `rawHeaders`; preserves case, order and duplicates. */
export const pairHeaders = (rawHeaders: readonly string[]): readonly RawHeader[] => {
  const headers: RawHeader[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers.push({ name: rawHeaders[index] ?? '', value: rawHeaders[index + 1] ?? '' });
  }
  return headers;
};
