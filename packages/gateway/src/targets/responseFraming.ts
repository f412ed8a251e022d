/** How the end of a response's body is marked. */
export type ResponseFraming =
  /** By its length, or by the last of its chunks. */
  | 'delimited'
  /** Only by the end of the connection. */
  | 'until-close';

/** Returns the framing that the headers of a response declare, named in lower case. */
export const responseFramingOf = (
  headers: Readonly<Record<string, string | string[] | undefined>>,
): ResponseFraming =>
  headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
    ? 'until-close'
    : 'delimited';
