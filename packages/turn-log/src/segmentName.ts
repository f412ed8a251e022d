const SEGMENT_NAME = /^turns-(\d{8})\.log$/;
const DIGITS = 8;

/** Returns the name of a segment's file. */
export const segmentName = (sequence: number): string =>
  `turns-${String(sequence).padStart(DIGITS, '0')}.log`;

/** Returns the sequence of a segment by its file's name; undefined for any other file. */
export const segmentSequence = (name: string): number | undefined => {
  const digits = SEGMENT_NAME.exec(name)?.[1];
  return digits === undefined ? undefined : Number(digits);
};
