/** One query parameter, as received and decoded. */
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

/** Splits a request target into path and query parameters; a fragment is discarded. */
export const parseRequestTarget = (pathAndQuery: string): RequestTarget => {
  const [target = ''] = pathAndQuery.split('#', 1);
  const start = target.indexOf('?');
  if (start < 0) return { path: target, parameters: [] };
  return {
    path: target.slice(0, start),
    parameters: target
      .slice(start + 1)
      .split('&')
      .filter((raw) => raw !== '')
      .map(decodeParameter),
  };
};
