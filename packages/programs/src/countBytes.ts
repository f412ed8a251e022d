import type { ProgramRecord } from './programRecord';

/** Returns the size in bytes of records as the journal writes them: lines of JSON in UTF-8. */
export const countBytes = (records: readonly ProgramRecord[]): number =>
  records.reduce((total, record) => total + Buffer.byteLength(JSON.stringify(record)) + 1, 0);
