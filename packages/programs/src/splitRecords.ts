import type { ProgramRecord } from './programRecord';
import { recordBytes } from './recordBytes';

/** Splits records, in order, into parts of at most a size in bytes; a larger one stands alone. */
export const splitRecords = (
  records: readonly ProgramRecord[],
  maximumBytes: number,
): readonly (readonly ProgramRecord[])[] => {
  const parts: ProgramRecord[][] = [];
  let room = 0;
  records.forEach((record) => {
    const bytes = recordBytes([record]);
    const part = parts[parts.length - 1];
    if (part && bytes <= room) {
      part.push(record);
      room -= bytes;
      return;
    }
    parts.push([record]);
    room = maximumBytes - bytes;
  });
  return parts;
};
