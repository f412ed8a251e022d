import type { ProgramRecord } from './programRecord';

/** Returns the size of records as the journal writes them: JSON texts in UTF-8, in bytes. */
export const recordBytes = (records: readonly ProgramRecord[]): number =>
  records.reduce((total, record) => total + Buffer.byteLength(JSON.stringify(record)) + 1, 0);
