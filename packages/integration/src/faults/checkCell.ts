import type { CallResult } from '@limpetnotch/stand-ins';
import { joinAnswerText, chatRequestSchema, planAnswer } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { CallFault } from './callFaults';
import type { CellCall } from './faultCell';
import { ORGANISATION } from './faultDeclarations';
import { getAnsweredKeys, checkHistoryEntries, parseHistory } from './programHistory';

/** Observations of a cell, for the checks. */
export interface CellObservation {
  readonly call: CellCall;
  readonly plan: { readonly faults: readonly CallFault[] };
  /** Result of the program's first call, before the fault. */
  readonly openingResult: CallResult;
  readonly first: CallResult;
  /** Number of executions when the first attempt ended. */
  readonly firstExecutions: number;
  readonly final: CallResult;
}

const ENGINE_SEED = 1;
const END_TIMEOUT_MILLISECONDS = 5_000;
const RETRY_DELAY_MILLISECONDS = 250;
const STATUS_UNAVAILABLE = 503;

const computeExpectedText = ({ request }: CellCall): string =>
  joinAnswerText(planAnswer(chatRequestSchema.parse(request.body), ENGINE_SEED));

const checkAnswer = ({ call, final }: CellObservation): readonly string[] => {
  if (final.kind !== 'answered') return [];
  const isComplete =
    call.kind === 'model'
      ? final.text === computeExpectedText(call)
      : final.text.includes(call.effect);
  return isComplete ? [] : ['the answer is not whole'];
};

const checkEffects = ({ call, first, firstExecutions, final }: CellObservation): string[] => {
  if (call.kind !== 'charge') return [];
  const executions = call.fleet.countExecutions(call.effect);
  const errors: string[] = [];
  if (executions > 1) errors.push(`a non-idempotent call ran ${executions} times`);
  if (final.kind === 'answered' && executions !== 1) errors.push('answered, but it did not run');
  if (first.kind === 'problem' && first.executed === 'no' && firstExecutions > 0) {
    errors.push(`"not run" was false (${first.problem})`);
  }
  // Without a valid key, the response covers this attempt only, not what ran under another key.
  const hasUnknownKey = final.kind === 'problem' && final.problem === 'key-unknown';
  if (final.kind === 'problem' && final.executed === 'no' && executions > 0 && !hasUnknownKey) {
    errors.push(`"not run" was false at the end (${final.problem})`);
  }
  return errors;
};

const checkOutcome = ({ call, plan, final }: CellObservation): readonly string[] => {
  if (final.kind === 'answered' || plan.faults.includes('key-withdrawn')) return [];
  if (call.kind === 'charge' && final.kind === 'problem' && final.executed !== 'yes') return [];
  return [`no answer in the end: ${final.kind === 'problem' ? final.problem : final.detail}`];
};

/** Whether a history starts with the expected calls in order, with at most `mayHoldMore` others. */
const isExpectedHistory = (
  answered: readonly string[],
  expected: readonly string[],
  mayHoldMore: number,
): boolean =>
  answered.length <= expected.length + mayHoldMore &&
  expected.every((key, index) => answered[index] === key);

/** Reads the program with an active key, and compares its history with the answered calls. */
const checkHistory = async ({ call, openingResult, final }: CellObservation): Promise<string[]> => {
  const { fleet, program, effect } = call;
  const key = fleet.activeKey(ORGANISATION);
  const path = `/limpetnotch/v1/programs/${program}`;
  const result = await fleet.caller.call({ entry: fleet.entry(0), path, method: 'GET', key });
  if (result.kind !== 'answered') return [`the history cannot be read: ${JSON.stringify(result)}`];
  const history = parseHistory(result.text);
  const violations = [...checkHistoryEntries(history)];
  const answered = getAnsweredKeys(history);
  const expected = [
    ...(openingResult.kind === 'answered' ? [`${program}-opening`] : []),
    ...(final.kind === 'answered' ? [effect] : []),
  ];
  // A call whose response was never received may be recorded as answered.
  const mayHoldMore = final.kind === 'answered' ? 0 : 1;
  if (!isExpectedHistory(answered, expected, mayHoldMore)) {
    violations.push(`the history holds ${answered.join(', ')} in place of ${expected.join(', ')}`);
  }
  return violations;
};

/** Ends the program, retrying at each entry in turn, as callers do while its owner changes. */
const endProgram = async ({ fleet, program }: CellCall): Promise<CallResult> => {
  const path = `/limpetnotch/v1/programs/${program}`;
  const deadline = performance.now() + END_TIMEOUT_MILLISECONDS;
  for (let attempt = 0; ; attempt += 1) {
    const entry = fleet.entry(attempt % fleet.instances);
    const key = fleet.activeKey(ORGANISATION);
    const ended = await fleet.caller.call({ entry, path, method: 'DELETE', key });
    const isTransient = ended.kind === 'problem' && ended.status === STATUS_UNAVAILABLE;
    if (!isTransient || performance.now() > deadline) return ended;
    await delay(RETRY_DELAY_MILLISECONDS);
  }
};

/** Ends the program and checks that the engines' memory is released. */
const checkEnd = async ({ call }: CellObservation): Promise<string[]> => {
  const { fleet } = call;
  const ended = await endProgram(call);
  if (ended.kind !== 'answered') return [`the program cannot be ended: ${JSON.stringify(ended)}`];
  const heldSessions = await fleet.findHeldSessions();
  return heldSessions.length === 0
    ? []
    : [`engine memory is held by ended programs: ${heldSessions.join(', ')}`];
};

/** Checks every guarantee that a cell can violate; returns the violations. */
export const checkCell = async (observation: CellObservation): Promise<readonly string[]> => {
  const { fleet } = observation.call;
  const violations = [
    ...checkAnswer(observation),
    ...checkEffects(observation),
    ...checkOutcome(observation),
    ...(await checkHistory(observation)),
    ...(await checkEnd(observation)),
  ];
  const failures = fleet.countNewAssertionFailures();
  if (failures > 0) violations.push(`${failures} assertions failed inside the instances`);
  if (fleet.countKeySightings() > 0) violations.push("a target saw a caller's key");
  return violations;
};
