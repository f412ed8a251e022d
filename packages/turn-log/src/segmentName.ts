const SEGMENT_NAME = /^turns-(\d{8})\.log$/;
const DIGITS = 8;

/** Returns the file name of a segment. */
export const segmentName = (sequence: number): string =>
  `turns-${String(sequence).padStart(DIGITS, '0')}.log`;

/** Parses the sequence number of a segment from a file name; `undefined` for any other file. */
export const segmentSequence = (name: string): number | undefined => {
  const digits = SEGMENT_NAME.exec(name)?.[1];
  return digits === undefined ? undefined : Number(digits);
};
