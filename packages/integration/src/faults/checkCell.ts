import type { CallResult } from '@limpetnotch/stand-ins';
import { answerTextOf, chatRequestSchema, planAnswer } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { CallFault } from './callFaults';
import type { CellCall } from './faultCell';
import { ORGANISATION } from './faultDeclarations';
import { answeredKeys, checkHistoryEntries, parseHistory } from './programHistory';

/** What a cell saw, for the checks. */
export interface CellObservation {
  readonly call: CellCall;
  readonly plan: { readonly faults: readonly CallFault[] };
  /** Result of the program's first call, before the fault. */
  readonly opened: CallResult;
  readonly first: CallResult;
  /** Times the effect was had when the first attempt ended. */
  readonly firstExecutions: number;
  readonly final: CallResult;
}

const ENGINE_SEED = 1;
const END_MILLISECONDS = 5_000;
const RETRY_MILLISECONDS = 250;
const STATUS_UNAVAILABLE = 503;

const expectedText = ({ request }: CellCall): string =>
  answerTextOf(planAnswer(chatRequestSchema.parse(request.body), ENGINE_SEED));

const checkAnswer = ({ call, final }: CellObservation): readonly string[] => {
  if (final.kind !== 'answered') return [];
  const isWhole =
    call.kind === 'model' ? final.text === expectedText(call) : final.text.includes(call.effect);
  return isWhole ? [] : ['the answer is not whole'];
};

const checkEffects = ({ call, first, firstExecutions, final }: CellObservation): string[] => {
  if (call.kind !== 'charge') return [];
  const executions = call.fleet.executionsOf(call.effect);
  const broken: string[] = [];
  if (executions > 1) broken.push(`a non-idempotent call ran ${executions} times`);
  if (final.kind === 'answered' && executions !== 1) broken.push('answered, but it did not run');
  if (first.kind === 'problem' && first.executed === 'no' && firstExecutions > 0) {
    broken.push(`"not run" was false (${first.problem})`);
  }
  // A caller without a valid key is told of this attempt only, not what ran under another key.
  const isStranger = final.kind === 'problem' && final.problem === 'key-unknown';
  if (final.kind === 'problem' && final.executed === 'no' && executions > 0 && !isStranger) {
    broken.push(`"not run" was false at the end (${final.problem})`);
  }
  return broken;
};

const checkOutcome = ({ call, plan, final }: CellObservation): readonly string[] => {
  if (final.kind === 'answered' || plan.faults.includes('key-withdrawn')) return [];
  if (call.kind === 'charge' && final.kind === 'problem' && final.executed !== 'yes') return [];
  return [`no answer in the end: ${final.kind === 'problem' ? final.problem : final.detail}`];
};

/** Whether a history holds what was answered in that order, and no more than it may. */
const holdsInOrder = (
  answered: readonly string[],
  expected: readonly string[],
  mayHoldMore: number,
): boolean =>
  answered.length <= expected.length + mayHoldMore &&
  expected.every((key, index) => answered[index] === key);

/** Reads the program with a key that was not withdrawn, and compares it with what was answered. */
const checkHistory = async ({ call, opened, final }: CellObservation): Promise<string[]> => {
  const { fleet, program, effect } = call;
  const key = fleet.activeKey(ORGANISATION);
  const path = `/limpetnotch/v1/programs/${program}`;
  const read = await fleet.caller.call({ entry: fleet.entry(0), path, method: 'GET', key });
  if (read.kind !== 'answered') return [`the history cannot be read: ${JSON.stringify(read)}`];
  const history = parseHistory(read.text);
  const broken = [...checkHistoryEntries(history)];
  const answered = answeredKeys(history);
  const expected = [
    ...(opened.kind === 'answered' ? [`${program}-opening`] : []),
    ...(final.kind === 'answered' ? [effect] : []),
  ];
  // A call whose answer never came may be recorded as answered.
  const mayHoldMore = final.kind === 'answered' ? 0 : 1;
  if (!holdsInOrder(answered, expected, mayHoldMore)) {
    broken.push(`the history holds ${answered.join(', ')} in place of ${expected.join(', ')}`);
  }
  return broken;
};

/** Ends the program at each entry in turn, as callers do while its owner changes. */
const endProgram = async ({ fleet, program }: CellCall): Promise<CallResult> => {
  const path = `/limpetnotch/v1/programs/${program}`;
  const giveUpAt = performance.now() + END_MILLISECONDS;
  for (let attempt = 0; ; attempt += 1) {
    const entry = fleet.entry(attempt % fleet.instances);
    const key = fleet.activeKey(ORGANISATION);
    const ended = await fleet.caller.call({ entry, path, method: 'DELETE', key });
    const isPassing = ended.kind === 'problem' && ended.status === STATUS_UNAVAILABLE;
    if (!isPassing || performance.now() > giveUpAt) return ended;
    await delay(RETRY_MILLISECONDS);
  }
};

/** Ends the program and looks whether the engines' memory is freed. */
const checkEnd = async ({ call }: CellObservation): Promise<string[]> => {
  const { fleet } = call;
  const ended = await endProgram(call);
  if (ended.kind !== 'answered') return [`the program cannot be ended: ${JSON.stringify(ended)}`];
  const held = await fleet.heldSessions();
  return held.length === 0 ? [] : [`engine memory is held by ended programs: ${held.join(', ')}`];
};

/** Checks every promise that a cell can break; returns those that were broken. */
export const checkCell = async (observation: CellObservation): Promise<readonly string[]> => {
  const { fleet } = observation.call;
  const broken = [
    ...checkAnswer(observation),
    ...checkEffects(observation),
    ...checkOutcome(observation),
    ...(await checkHistory(observation)),
    ...(await checkEnd(observation)),
  ];
  const failures = fleet.takeAssertionFailures();
  if (failures > 0) broken.push(`${failures} assertions failed inside the instances`);
  if (fleet.keySightings() > 0) broken.push("a target saw a caller's key");
  return broken;
};
