/** One parameter of a query: as it came, and decoded. */
export interface QueryParameter {
  readonly raw: string;
  readonly name: string;
  readonly value: string;
}

/** Path and query of a request. */
export interface RequestTarget {
  readonly path: string;
  readonly parameters: readonly QueryParameter[];
}

const decodeParameter = (raw: string): QueryParameter => {
  const [[name, value] = ['', '']] = new URLSearchParams(raw);
  return { raw, name, value };
};

/** Splits a path and query; what follows a `#` is dropped. */
export const parseRequestTarget = (pathAndQuery: string): RequestTarget => {
  const [whole = ''] = pathAndQuery.split('#', 1);
  const start = whole.indexOf('?');
  if (start < 0) return { path: whole, parameters: [] };
  return {
    path: whole.slice(0, start),
    parameters: whole
      .slice(start + 1)
      .split('&')
      .filter((raw) => raw !== '')
      .map(decodeParameter),
  };
};
