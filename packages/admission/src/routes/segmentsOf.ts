/** Backslashes, fragments, and encoded slashes, backslashes, dots and controls, also twice over. */
const REFUSED = /[\\#]|%(?:25)*(?:2f|5c|2e|[01][0-9a-f]|7f)/i;

/** A segment's parameters, which some servers cut off before they compare paths. */
const SEGMENT_PARAMETERS = /;.*$/;

const DOT_SEGMENTS: ReadonlySet<string> = new Set(['.', '..']);

const decode = (segment: string): string | undefined => {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
};

/**
 * Splits a path (a query is ignored) into decoded segments without their parameters, as a target
 * would compare them. Returns `undefined` where targets could differ on what the path means. One
 * trailing slash is allowed.
 */
export const segmentsOf = (pathAndQuery: string): readonly string[] | undefined => {
  const [path = ''] = pathAndQuery.split('?', 1);
  if (!path.startsWith('/') || REFUSED.test(path)) return undefined;
  const trimmed = path.endsWith('/') ? path.slice(1, -1) : path.slice(1);
  if (path === '/') return [];
  const segments: string[] = [];
  for (const raw of trimmed.split('/')) {
    const segment = decode(raw)?.replace(SEGMENT_PARAMETERS, '');
    if (segment === undefined || segment === '' || DOT_SEGMENTS.has(segment)) return undefined;
    segments.push(segment);
  }
  return segments;
};
