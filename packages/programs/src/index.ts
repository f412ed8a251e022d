export type { CallRequest } from './callRequest';
export type { CallRefusal, CallStart } from './callStart';
export type { EngineMemory } from './engineMemoryList';
export type { Journal, JournalCommit, JournalError } from './journal';
export type { HistoryEntry, LedgerSnapshot, ProgramEnd } from './ledgerSnapshot';
export { ProgramLedger } from './programLedger';
export type { ProgramLedgerOptions, RestoreOptions } from './programLedger';
export { DEFAULT_PROGRAM_LEDGER_SETTINGS } from './programLedgerSettings';
export type { ProgramLedgerSettings } from './programLedgerSettings';
export {
  answerSchema,
  budgetLimitsSchema,
  callOutcomeSchema,
  endReasonSchema,
  executedSchema,
  programIdentifierSchema,
  programRecordSchema,
  usageSchema,
} from './programRecord';
export type {
  Answer,
  BudgetLimits,
  CallOutcome,
  EndReason,
  Executed,
  ProgramIdentifier,
  ProgramRecord,
  Usage,
} from './programRecord';
export type { ProgramView } from './programView';
export type { LedgerRestoreError } from './restoreTable';
export { sharedBody } from './sharedBody';
export type { SharedBody } from './sharedBody';
export { EscrowAccount } from './escrow/escrowAccount';
export type { EscrowState, GrantPlan } from './escrow/escrowAccount';
