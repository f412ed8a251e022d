import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Budget } from './budget';
import type { CallRequest } from './callRequest';
import type { CallRefusal } from './callStart';
import type { CallUnderWay } from './ledgerSnapshot';
import type { BudgetLimits, Usage } from './programRecord';
import type { FoundProgram, ProgramTable } from './programTable';
import { programPath } from './util/programPath';

const DEFAULT_MINIMUM_TOKENS = 1;
const FIRST_SEQUENCE = 0;

/** How a call is to start. */
export interface CallPlan {
  readonly sequence: number;
  readonly reservation: Usage;
  /** Limits to start the program with; `undefined` where it is known. */
  readonly startLimits: BudgetLimits | undefined;
  /** The same call's attempt of an earlier owner, whose place the new one takes. */
  readonly lostAttempt: CallUnderWay | undefined;
  /** Another call's attempt of an earlier owner, to be closed first. */
  readonly abandonedAttempt: CallUnderWay | undefined;
}

/** Why a call cannot start. */
export type PlanRefusal = Pick<CallRefusal, 'problem' | 'detail'>;

const refuse = (problem: CallRefusal['problem'], detail: string): Result<never, PlanRefusal> =>
  err({ problem, detail });

const checkSequence = (request: CallRequest, sequence: number): Result<undefined, PlanRefusal> =>
  (request.expectedSequence ?? sequence) === sequence
    ? ok(undefined)
    : refuse('sequence-conflict', `the next sequence is ${String(sequence)}`);

const reservationFrom = (
  budget: Budget,
  request: CallRequest,
  nowMilliseconds: number,
): Result<Usage, PlanRefusal> => {
  const { worstCase, minimumTokens = DEFAULT_MINIMUM_TOKENS } = request;
  return budget.grantFor({ worstCase, minimumTokens }, nowMilliseconds).mapErr((limit) => ({
    problem: 'budget-exhausted',
    detail: `the program's budget leaves too little: ${limit}`,
  }));
};

const planKnown = (
  request: CallRequest,
  { program, tree }: FoundProgram,
  nowMilliseconds: number,
): Result<CallPlan, PlanRefusal> => {
  const { current, end } = program;
  if (end) return refuse('program-ended', `the program ended: ${end.reason}`);
  const isSameCall = current?.idempotencyKey === request.idempotencyKey;
  const sequence = program.history.length + (current && !isSameCall ? 1 : 0);
  return checkSequence(request, sequence)
    .andThen(() => reservationFrom(tree.budget, request, nowMilliseconds))
    .map((reservation) => ({
      sequence,
      reservation,
      startLimits: undefined,
      lostAttempt: isSameCall ? current : undefined,
      abandonedAttempt: isSameCall ? undefined : current,
    }));
};

const planNew = (
  request: CallRequest,
  table: ProgramTable,
  nowMilliseconds: number,
): Result<CallPlan, PlanRefusal> => {
  const parentPath = programPath.parent(request.program.path);
  const parent =
    parentPath === undefined ? undefined : table.find({ ...request.program, path: parentPath });
  if (parentPath !== undefined && !parent) {
    return refuse('parent-not-found', `there is no program ${parentPath}`);
  }
  if (parent?.program.end) return refuse('program-ended', 'the parent program ended');
  const { limits } = request;
  const budget =
    parent?.tree.budget ?? new Budget({ limits, startedAtMilliseconds: nowMilliseconds });
  return checkSequence(request, FIRST_SEQUENCE)
    .andThen(() => reservationFrom(budget, request, nowMilliseconds))
    .map((reservation) => ({
      sequence: FIRST_SEQUENCE,
      reservation,
      startLimits: parent ? {} : limits,
      lostAttempt: undefined,
      abandonedAttempt: undefined,
    }));
};

/** Plans a call whose turn it is; changes nothing. */
export const planCall = (
  request: CallRequest,
  table: ProgramTable,
  nowMilliseconds: number,
): Result<CallPlan, PlanRefusal> => {
  const found = table.find(request.program);
  return found
    ? planKnown(request, found, nowMilliseconds)
    : planNew(request, table, nowMilliseconds);
};
