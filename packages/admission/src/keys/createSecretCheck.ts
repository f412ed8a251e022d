const MAXIMUM_DECODINGS = 3;
const BASE64_GROUP_BYTES = 3;
const BASE64_GROUP_DIGITS = 4;
const BITS_PER_DIGIT = 6;
const BITS_PER_BYTE = 8;

const decodePercent = (text: string): string =>
  text.replace(/%([0-9a-f]{2})/gi, (_match, digits: string) =>
    String.fromCharCode(Number.parseInt(digits, 16)),
  );

const collectPercentDecodings = (text: string): readonly string[] => {
  const decodings = [text];
  for (let round = 0; round < MAXIMUM_DECODINGS && text.includes('%'); round += 1) {
    const last = decodings.at(-1) ?? '';
    const next = decodePercent(last);
    if (next === last) return decodings;
    decodings.push(next);
  }
  return decodings;
};

/** Returns the base64 digits that depend on the secret alone, if `bytesBefore` bytes precede it. */
const computeBase64Core = (secret: string, bytesBefore: number): string => {
  const digits = Buffer.concat([Buffer.alloc(bytesBefore), Buffer.from(secret)]).toString('base64');
  const first = Math.ceil((bytesBefore * BITS_PER_BYTE) / BITS_PER_DIGIT);
  const bytes = bytesBefore + Buffer.byteLength(secret);
  const last = Math.floor((bytes * BITS_PER_BYTE) / BITS_PER_DIGIT);
  return digits.slice(first, last);
};

const computeBase64Cores = (secret: string): readonly string[] =>
  Array.from({ length: BASE64_GROUP_BYTES }, (_, bytesBefore) =>
    computeBase64Core(secret, bytesBefore),
  );

const toStandardBase64 = (text: string): string => text.replace(/-/g, '+').replace(/_/g, '/');

/**
 * Returns a predicate that checks whether a text contains a secret: plain, in any case,
 * percent-encoded up to three times, or in base64 at any offset of the encoded data. For a secret
 * of fewer than four bytes, base64 is not checked.
 */
export const createSecretCheck = (secret: string): ((text: string) => boolean) => {
  const plain = secret.toLowerCase();
  const cores = secret.length < BASE64_GROUP_DIGITS ? [] : computeBase64Cores(secret);
  return (text) =>
    collectPercentDecodings(text).some((decoded) => {
      if (decoded.toLowerCase().includes(plain)) return true;
      const digits = toStandardBase64(decoded);
      return cores.some((core) => digits.includes(core));
    });
};
