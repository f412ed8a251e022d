/**
 * Matches backslashes, fragments, and encoded slashes, backslashes, dots and control characters,
 * also if encoded repeatedly.
 */
const AMBIGUOUS_PATH = /[\\#]|%(?:25)*(?:2f|5c|2e|[01][0-9a-f]|7f)/i;

/** Parameters of a segment, which some implementations remove before they compare paths. */
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
 * Splits a path (the query is ignored) into decoded segments without their parameters, as a target
 * would compare them. Returns `undefined` if targets could interpret the path differently. One
 * trailing slash is allowed.
 */
export const splitPathSegments = (pathAndQuery: string): readonly string[] | undefined => {
  const [path = ''] = pathAndQuery.split('?', 1);
  if (!path.startsWith('/') || AMBIGUOUS_PATH.test(path)) return undefined;
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
