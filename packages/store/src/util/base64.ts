/** Encodes text as the gateway carries keys and values. */
export const encodeBase64 = (text: string): string => Buffer.from(text, 'utf8').toString('base64');

/** Decodes a key or value of the gateway. */
export const decodeBase64 = (encoded: string): string =>
  Buffer.from(encoded, 'base64').toString('utf8');
