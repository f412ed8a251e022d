import type { CallResult } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { CallFault } from './callFaults';
import { startFault, endFault, getFaultMilliseconds } from './callFaults';
import type { CellResult } from './cellResult';
import { describeResult } from './cellResult';
import { checkCell } from './checkCell';
import type { CallKind, CallStep, CellCall } from './faultCell';
import { CHARGE_PATH, MODEL, MODEL_PATH, ORGANISATION } from './faultDeclarations';
import type { FaultFleet } from './faultFleet';
import { reachStep } from './reachStep';

const OUTPUT_TOKENS = 30;
const ATTEMPT_MILLISECONDS = 12_000;
const RETRY_TIMEOUT_MILLISECONDS = 25_000;
const RETRY_DELAY_MILLISECONDS = 250;

/** Problems that retries don't change. */
const FINAL_PROBLEMS: ReadonlySet<string> = new Set([
  'outcome-unknown',
  'key-withdrawn',
  'key-unknown',
  'program-ended',
  'program-not-found',
  'budget-exhausted',
  'idempotency-conflict',
  'sequence-conflict',
  'quarantined',
  'malformed-request',
]);

/** One cell of the matrix, with the number that makes its program name unique. */
export interface CellPlan {
  readonly number: number;
  readonly kind: CallKind;
  readonly step: CallStep;
  /** Faults injected in this order; usually one. */
  readonly faults: readonly CallFault[];
}

const createBody = (kind: CallKind, effect: string): object => {
  if (kind === 'charge') return { effect };
  const content = `${effect} [output=${OUTPUT_TOKENS}]`;
  return {
    model: MODEL,
    messages: [{ role: 'user', content }],
    stream: true,
    max_tokens: OUTPUT_TOKENS,
  };
};

const createCall = (
  fleet: FaultFleet,
  { kind, number }: CellPlan,
  program: string,
  placement: Pick<CellCall, 'owner' | 'entry' | 'partition'>,
  turn: string,
): CellCall => {
  const key = fleet.keys[number % fleet.keys.length];
  if (!key) throw new Error('the fleet has no keys');
  const effect = `${program}-${turn}`;
  return {
    fleet,
    kind,
    program,
    ...placement,
    key: key.name,
    effect,
    request: {
      path: kind === 'charge' ? CHARGE_PATH : MODEL_PATH,
      key: key.secret,
      program,
      idempotencyKey: effect,
      body: createBody(kind, effect),
      timeoutMilliseconds: ATTEMPT_MILLISECONDS,
    },
    callerAbort: new AbortController(),
  };
};

const isFinal = (kind: CallKind, result: CallResult): boolean => {
  if (result.kind === 'broken') return false;
  if (result.kind === 'answered' || FINAL_PROBLEMS.has(result.problem)) return true;
  // A call that may have run is never run again, so its outcome stays unknown.
  return kind === 'charge' && result.executed === 'unknown';
};

/** Retries the call, at each entry in turn, until its result is final. */
const retryUntilFinal = async (call: CellCall, first: CallResult): Promise<CallResult> => {
  const deadline = performance.now() + RETRY_TIMEOUT_MILLISECONDS;
  let result = first;
  for (let attempt = 1; !isFinal(call.kind, result) && performance.now() < deadline; attempt += 1) {
    await delay(RETRY_DELAY_MILLISECONDS);
    const entry = call.fleet.entry((call.entry + attempt) % call.fleet.instances);
    result = await call.fleet.caller.call({ ...call.request, entry });
  }
  return result;
};

const locateProgram = async (
  fleet: FaultFleet,
  program: string,
): Promise<Pick<CellCall, 'owner' | 'entry' | 'partition'>> => {
  const partition = fleet.getPartition(ORGANISATION, program);
  const owner = await fleet.waitForOwner(partition);
  return { partition, owner, entry: (owner + 1) % fleet.instances };
};

const startFaults = async (call: CellCall, faults: readonly CallFault[]): Promise<void> => {
  for (const fault of faults) await startFault(fault, call);
};

const endFaults = async (call: CellCall, faults: readonly CallFault[]): Promise<void> => {
  await delay(Math.max(0, ...faults.map(getFaultMilliseconds)));
  for (const fault of faults) await endFault(fault, call);
};

/** Runs one cell: holds a call at a step, injects the faults, retries, and runs all checks. */
export const runCell = async (fleet: FaultFleet, plan: CellPlan): Promise<CellResult> => {
  const program = `cell-${plan.number}`;
  const placement = await locateProgram(fleet, program);
  const opening = createCall(fleet, plan, program, placement, 'opening');
  const openingResult = await retryUntilFinal(opening, { kind: 'broken', detail: 'not yet sent' });
  const call = createCall(fleet, plan, program, placement, 'struck');
  const reached = await reachStep(call, plan.step);
  const startedAt = performance.now();
  await startFaults(call, plan.faults);
  reached.release();
  const recovering = endFaults(call, plan.faults);
  const firstResult = await reached.result;
  const firstExecutions = fleet.countExecutions(call.effect);
  // After the response, the caller retries as if that response had been lost.
  const lostResult: CallResult = { kind: 'broken', detail: 'the answer was lost' };
  const finalResult = await retryUntilFinal(
    call,
    plan.step === 'answered' ? lostResult : firstResult,
  );
  const milliseconds = performance.now() - startedAt;
  await recovering;
  await fleet.waitUntilHealthy();
  const violations = await checkCell({
    call,
    plan,
    openingResult,
    first: firstResult,
    firstExecutions,
    final: finalResult,
  });
  return {
    kind: plan.kind,
    step: plan.step,
    faults: plan.faults,
    first: describeResult(firstResult),
    final: describeResult(finalResult),
    executions: plan.kind === 'charge' ? fleet.countExecutions(call.effect) : undefined,
    milliseconds,
    violations,
  };
};
