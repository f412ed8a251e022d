import { countBytes } from './countBytes';
import type { ProgramRecord } from './programRecord';

/**
 * Splits records, in order, into parts of at most `maximumBytes`; a larger record is a part of its
 * own.
 */
export const splitRecords = (
  records: readonly ProgramRecord[],
  maximumBytes: number,
): readonly (readonly ProgramRecord[])[] => {
  const parts: ProgramRecord[][] = [];
  let remainingBytes = 0;
  records.forEach((record) => {
    const bytes = countBytes([record]);
    const part = parts[parts.length - 1];
    if (part && bytes <= remainingBytes) {
      part.push(record);
      remainingBytes -= bytes;
      return;
    }
    parts.push([record]);
    remainingBytes = maximumBytes - bytes;
  });
  return parts;
};
