/** One header as it came from a caller. */
export interface RawHeader {
  readonly name: string;
  readonly value: string;
}

/** Pairs the names and values of Node's `rawHeaders`; case, order and duplicates stay. */
export const pairHeaders = (rawHeaders: readonly string[]): readonly RawHeader[] => {
  const headers: RawHeader[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers.push({ name: rawHeaders[index] ?? '', value: rawHeaders[index + 1] ?? '' });
  }
  return headers;
};
