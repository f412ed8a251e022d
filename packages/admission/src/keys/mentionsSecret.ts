const MAXIMUM_DECODINGS = 3;
const BASE64_RUNS = /[A-Za-z0-9+/_-]{4,}/g;
const BASE64_ALIGNMENTS = [0, 1, 2, 3];

const decodePercent = (text: string): string =>
  text.replace(/%([0-9a-f]{2})/gi, (_match, digits: string) =>
    String.fromCharCode(Number.parseInt(digits, 16)),
  );

const percentDecodings = (text: string): readonly string[] => {
  const decodings = [text];
  for (let round = 0; round < MAXIMUM_DECODINGS; round += 1) {
    const last = decodings.at(-1) ?? '';
    const next = decodePercent(last);
    if (next === last) return decodings;
    decodings.push(next);
  }
  return decodings;
};

const base64Decodings = (text: string): readonly string[] =>
  (text.match(BASE64_RUNS) ?? []).flatMap((run) =>
    BASE64_ALIGNMENTS.map((start) => Buffer.from(run.slice(start), 'base64').toString('latin1')),
  );

/** Whether a text holds a secret: plain, in odd case, percent-encoded up to thrice, or in base64. */
export const mentionsSecret = (text: string, secret: string): boolean => {
  const wanted = secret.toLowerCase();
  const plain = percentDecodings(text);
  return [...plain, ...plain.flatMap(base64Decodings)].some((decoded) =>
    decoded.toLowerCase().includes(wanted),
  );
};
