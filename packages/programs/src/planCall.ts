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

/** How a call starts. */
export interface CallPlan {
  readonly sequence: number;
  readonly reservation: Usage;
  /** Budget limits of the program to start; `undefined` if the program exists. */
  readonly startLimits: BudgetLimits | undefined;
  /** Attempt of the same call by an earlier owner, which the new attempt replaces. */
  readonly lostAttempt: CallUnderWay | undefined;
  /** Attempt of another call by an earlier owner, to be closed first. */
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

const computeReservation = (
  budget: Budget,
  request: CallRequest,
  nowMilliseconds: number,
): Result<Usage, PlanRefusal> => {
  const { worstCase, minimumTokens = DEFAULT_MINIMUM_TOKENS } = request;
  return budget.computeGrant({ worstCase, minimumTokens }, nowMilliseconds).mapErr((limit) => ({
    problem: 'budget-exhausted',
    detail: `the program's remaining budget is too small: ${limit}`,
  }));
};

const planForExistingProgram = (
  request: CallRequest,
  { program, tree }: FoundProgram,
  nowMilliseconds: number,
): Result<CallPlan, PlanRefusal> => {
  const { current, end } = program;
  if (end) return refuse('program-ended', `the program ended: ${end.reason}`);
  const isSameCall = current?.idempotencyKey === request.idempotencyKey;
  const sequence = program.history.length + (current && !isSameCall ? 1 : 0);
  return checkSequence(request, sequence)
    .andThen(() => computeReservation(tree.budget, request, nowMilliseconds))
    .map((reservation) => ({
      sequence,
      reservation,
      startLimits: undefined,
      lostAttempt: isSameCall ? current : undefined,
      abandonedAttempt: isSameCall ? undefined : current,
    }));
};

const planForNewProgram = (
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
    .andThen(() => computeReservation(budget, request, nowMilliseconds))
    .map((reservation) => ({
      sequence: FIRST_SEQUENCE,
      reservation,
      startLimits: parent ? {} : limits,
      lostAttempt: undefined,
      abandonedAttempt: undefined,
    }));
};

/** Plans a call that holds its turn; has no side effects. */
export const planCall = (
  request: CallRequest,
  table: ProgramTable,
  nowMilliseconds: number,
): Result<CallPlan, PlanRefusal> => {
  const found = table.find(request.program);
  return found
    ? planForExistingProgram(request, found, nowMilliseconds)
    : planForNewProgram(request, table, nowMilliseconds);
};
