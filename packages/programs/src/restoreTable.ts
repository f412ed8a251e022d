import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { ledgerSnapshotSchema } from './ledgerSnapshot';
import { programRecordSchema } from './programRecord';
import { ProgramTable } from './programTable';

/** Why the state of a partition was not restored; the stored data is unchanged. */
export interface LedgerRestoreError {
  readonly kind: 'corrupt-state';
  readonly detail: string;
}

const reject = (detail: string): Result<never, LedgerRestoreError> =>
  err({ kind: 'corrupt-state', detail });

const restoreSnapshot = (snapshot: unknown): Result<ProgramTable, LedgerRestoreError> => {
  if (snapshot === undefined) return ok(new ProgramTable());
  const parsed = ledgerSnapshotSchema.safeParse(snapshot);
  if (!parsed.success) return reject(`snapshot: ${z.prettifyError(parsed.error)}`);
  return ok(ProgramTable.fromSnapshot(parsed.data));
};

const applyRecord = (
  table: ProgramTable,
  record: unknown,
  index: number,
): Result<ProgramTable, LedgerRestoreError> => {
  const parsed = programRecordSchema.safeParse(record);
  if (!parsed.success) return reject(`record ${String(index)}: ${z.prettifyError(parsed.error)}`);
  return table
    .apply(parsed.data)
    .map(() => table)
    .mapErr((detail) => ({ kind: 'corrupt-state', detail: `record ${String(index)}: ${detail}` }));
};

/** Restores the state of a partition from a snapshot and the records after it. */
export const restoreTable = (
  snapshot: unknown,
  records: readonly unknown[],
): Result<ProgramTable, LedgerRestoreError> =>
  records.reduce<Result<ProgramTable, LedgerRestoreError>>(
    (restored, record, index) => restored.andThen((table) => applyRecord(table, record, index)),
    restoreSnapshot(snapshot),
  );
