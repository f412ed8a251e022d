import type { CallResult } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { CallFault } from './callFaults';
import { beginFault, endFault, faultMilliseconds } from './callFaults';
import type { CellResult } from './cellResult';
import { describeResult } from './cellResult';
import { checkCell } from './checkCell';
import type { CallKind, CallStep, CellCall } from './faultCell';
import { CHARGE_PATH, MODEL, MODEL_PATH, ORGANISATION } from './faultDeclarations';
import type { FaultFleet } from './faultFleet';
import { reachStep } from './reachStep';

const OUTPUT_TOKENS = 30;
const ATTEMPT_MILLISECONDS = 12_000;
const PATIENCE_MILLISECONDS = 25_000;
const RETRY_MILLISECONDS = 250;

/** Problems that stay as they are, however often the call is made again. */
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

/** One cell of the matrix, and the number that makes its names distinct. */
export interface CellPlan {
  readonly number: number;
  readonly kind: CallKind;
  readonly step: CallStep;
  /** Faults that strike one after the other; mostly one. */
  readonly faults: readonly CallFault[];
}

const bodyOf = (kind: CallKind, effect: string): object => {
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
  place: Pick<CellCall, 'owner' | 'entry' | 'partition'>,
  turn: string,
): CellCall => {
  const key = fleet.keys[number % fleet.keys.length];
  if (!key) throw new Error('the fleet has no keys');
  const effect = `${program}-${turn}`;
  return {
    fleet,
    kind,
    program,
    ...place,
    key: key.name,
    effect,
    request: {
      path: kind === 'charge' ? CHARGE_PATH : MODEL_PATH,
      key: key.secret,
      program,
      idempotencyKey: effect,
      body: bodyOf(kind, effect),
      timeoutMilliseconds: ATTEMPT_MILLISECONDS,
    },
    caller: new AbortController(),
  };
};

const isFinal = (kind: CallKind, result: CallResult): boolean => {
  if (result.kind === 'broken') return false;
  if (result.kind === 'answered' || FINAL_PROBLEMS.has(result.problem)) return true;
  // A call that may have run is never run again, so that its outcome stays unknown.
  return kind === 'charge' && result.executed === 'unknown';
};

/** Makes the call again, at each entry in turn, until its result is final. */
const retryUntilFinal = async (call: CellCall, first: CallResult): Promise<CallResult> => {
  const giveUpAt = performance.now() + PATIENCE_MILLISECONDS;
  let result = first;
  for (let attempt = 1; !isFinal(call.kind, result) && performance.now() < giveUpAt; attempt += 1) {
    await delay(RETRY_MILLISECONDS);
    const entry = call.fleet.entry((call.entry + attempt) % call.fleet.instances);
    result = await call.fleet.caller.call({ ...call.request, entry });
  }
  return result;
};

const place = async (
  fleet: FaultFleet,
  program: string,
): Promise<Pick<CellCall, 'owner' | 'entry' | 'partition'>> => {
  const partition = fleet.partition(ORGANISATION, program);
  const owner = await fleet.untilOwned(partition);
  return { partition, owner, entry: (owner + 1) % fleet.instances };
};

const strike = async (call: CellCall, faults: readonly CallFault[]): Promise<void> => {
  for (const fault of faults) await beginFault(fault, call);
};

const recover = async (call: CellCall, faults: readonly CallFault[]): Promise<void> => {
  await delay(Math.max(0, ...faults.map(faultMilliseconds)));
  for (const fault of faults) await endFault(fault, call);
};

/** Runs one cell: a call brought to a step, the faults, retries, and all checks. */
export const runCell = async (fleet: FaultFleet, plan: CellPlan): Promise<CellResult> => {
  const program = `cell-${plan.number}`;
  const where = await place(fleet, program);
  const opening = createCall(fleet, plan, program, where, 'opening');
  const opened = await retryUntilFinal(opening, { kind: 'broken', detail: 'not yet sent' });
  const call = createCall(fleet, plan, program, where, 'struck');
  const reached = await reachStep(call, plan.step);
  const startedAt = performance.now();
  await strike(call, plan.faults);
  reached.release();
  const recovering = recover(call, plan.faults);
  const first = await reached.answer;
  const firstExecutions = fleet.executionsOf(call.effect);
  // After the answer, the caller asks again, as if that answer had been lost.
  const lost: CallResult = { kind: 'broken', detail: 'the answer was lost' };
  const final = await retryUntilFinal(call, plan.step === 'answered' ? lost : first);
  const milliseconds = performance.now() - startedAt;
  await recovering;
  await fleet.untilWhole();
  const broken = await checkCell({ call, plan, opened, first, firstExecutions, final });
  return {
    kind: plan.kind,
    step: plan.step,
    faults: plan.faults,
    first: describeResult(first),
    final: describeResult(final),
    executions: plan.kind === 'charge' ? fleet.executionsOf(call.effect) : undefined,
    milliseconds,
    broken,
  };
};
