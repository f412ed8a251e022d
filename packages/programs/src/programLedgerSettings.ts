const SECOND_MILLISECONDS = 1_000;
const MINUTE_MILLISECONDS = 60 * SECOND_MILLISECONDS;
const MEBIBYTE = 1_024 * 1_024;

/** Settings of a {@link ProgramLedger}. */
export interface ProgramLedgerSettings {
  /** Time without a call after which a program ends; 30 minutes by default. */
  readonly idleMilliseconds: number;
  /** Time for which an ended program can be read and its calls replayed; 1 hour by default. */
  readonly endedRetentionMilliseconds: number;
  /** The same time for a single-call program; 5 minutes by default. */
  readonly singleCallRetentionMilliseconds: number;
  /** Maximum number of calls that wait for their turn per program path; 64 by default. */
  readonly maximumWaitingCalls: number;
  /** Largest append that the journal accepts, in bytes of JSON; 8 MiB by default. */
  readonly maximumAppendBytes: number;
}

/** Default settings of a {@link ProgramLedger}. */
export const DEFAULT_PROGRAM_LEDGER_SETTINGS: ProgramLedgerSettings = {
  idleMilliseconds: 30 * MINUTE_MILLISECONDS,
  endedRetentionMilliseconds: 60 * MINUTE_MILLISECONDS,
  singleCallRetentionMilliseconds: 5 * MINUTE_MILLISECONDS,
  maximumWaitingCalls: 64,
  maximumAppendBytes: 8 * MEBIBYTE,
};
