export type { CallRequest } from './callRequest';
export type { CallRefusal, CallStart } from './callStart';
export type { Journal, JournalCommit, JournalError } from './journal';
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
