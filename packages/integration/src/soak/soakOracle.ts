import type { FinishedStep } from '@limpetnotch/stand-ins';
import {
  joinAnswerText,
  chatRequestSchema,
  completionText,
  planAnswer,
} from '@limpetnotch/stand-ins';
import { MODEL } from '../faults/faultDeclarations';
import type { FaultFleet } from '../faults/faultFleet';
import { getAnsweredKeys, checkHistoryEntries, parseHistory } from '../faults/programHistory';
import { FLOODING_ORGANISATION, FLOODING_RATE, CALL_BUDGET } from './soakDeclarations';

const ENGINE_SEED = 1;
const MILLISECONDS_PER_SECOND = 1_000;
/** Longest time between a call's admission and its effect that the rate check allows for. */
const MAXIMUM_QUEUE_MILLISECONDS = 1_000;

const getAnswerText = (step: FinishedStep): string | undefined =>
  step.result.kind === 'answered' ? completionText(step.result.text) : undefined;

/** Checks the guarantees from outside, and collects the violations. */
export class SoakOracle {
  readonly violations: string[] = [];

  readonly #fleet: FaultFleet;

  readonly #steps: FinishedStep[] = [];

  constructor(fleet: FaultFleet) {
    this.#fleet = fleet;
  }

  get steps(): readonly FinishedStep[] {
    return this.#steps;
  }

  /** Records a finished call and checks its response. */
  record(step: FinishedStep): void {
    this.#steps.push(step);
    const { result, effect } = step;
    if (step.kind === 'model') this.#checkText(step);
    else this.#checkEffect(step);
    if (result.kind === 'problem' && result.problem === 'no-problem-document') {
      this.#report(`${effect}: an error without a problem document: ${result.detail}`);
    }
  }

  /** Runs the checks that require that no call is in progress. */
  async finish(): Promise<void> {
    this.#steps.filter(({ kind }) => kind === 'tool').forEach((step) => this.#checkEffect(step));
    this.#checkRate();
    this.#checkBudgets();
    await this.#checkHistories();
    await this.#checkFleet();
  }

  #report(fault: string): void {
    if (!this.violations.includes(fault)) this.violations.push(fault);
  }

  #checkText(step: FinishedStep): void {
    const text = getAnswerText(step);
    if (text === undefined) return;
    const outputTokens = Number(/\[output=(\d+)\]/.exec(step.messages.at(-1)?.content ?? '')?.[1]);
    const chat = { model: MODEL, messages: step.messages, max_tokens: outputTokens };
    const expected = joinAnswerText(planAnswer(chatRequestSchema.parse(chat), ENGINE_SEED));
    if (text !== expected) this.#report(`${step.effect}: the answer is not whole`);
  }

  #checkEffect({ effect, isIdempotent, result, attempts }: FinishedStep): void {
    const executions = this.#fleet.countExecutions(effect);
    if (!isIdempotent && executions > 1) this.#report(`${effect}: ran ${executions} times`);
    if (result.kind === 'answered' && executions === 0) {
      this.#report(`${effect}: answered, but it did not run`);
    }
    const claimsNotRun = result.kind === 'problem' && result.executed === 'no';
    if (claimsNotRun && attempts === 1 && executions > 0) {
      this.#report(`${effect}: "not run" was false (${result.problem})`);
    }
  }

  /** Checks that no window of any length has more effects than rate and burst allow. */
  #checkRate(): void {
    const times = this.#fleet.tool.executions
      .filter(({ body }) => JSON.stringify(body).includes(`"${FLOODING_ORGANISATION}/`))
      .map(({ atMilliseconds }) => atMilliseconds);
    times.forEach((start, first) => {
      times.slice(first).forEach((end, offset) => {
        const seconds = (end - start + MAXIMUM_QUEUE_MILLISECONDS) / MILLISECONDS_PER_SECOND;
        const allowed = FLOODING_RATE.burst + FLOODING_RATE.requestsPerSecond * seconds;
        if (offset + 1 > allowed) {
          this.#report(`${FLOODING_ORGANISATION}: ${offset + 1} calls within ${seconds} s`);
        }
      });
    });
  }

  #checkBudgets(): void {
    const answered = this.#steps.filter(({ result }) => result.kind === 'answered');
    const calls = new Map<string, number>();
    answered.forEach(({ organisation, program }) => {
      const root = `${organisation}/${program.split('/', 1)[0] ?? program}`;
      calls.set(root, (calls.get(root) ?? 0) + 1);
    });
    calls.forEach((count, root) => {
      if (count > CALL_BUDGET) this.#report(`${root}: ${count} calls exceed its budget`);
    });
  }

  async #checkHistories(): Promise<void> {
    const programs = new Map<string, FinishedStep[]>();
    this.#steps.forEach((step) => {
      const name = `${step.organisation} ${step.program}`;
      programs.set(name, [...(programs.get(name) ?? []), step]);
    });
    for (const steps of programs.values()) await this.#checkHistory(steps);
  }

  async #checkHistory(steps: readonly FinishedStep[]): Promise<void> {
    const [first] = steps;
    if (!first) return;
    const { organisation, program } = first;
    const response = await this.#fleet.caller.call({
      entry: this.#fleet.entry(0),
      path: `/limpetnotch/v1/programs/${program}`,
      method: 'GET',
      key: this.#fleet.activeKey(organisation),
    });
    const answered = steps.filter(({ result }) => result.kind === 'answered');
    if (response.kind !== 'answered') {
      if (answered.length > 0) {
        this.#report(
          `${organisation}/${program}: its history is gone: ${JSON.stringify(response)}`,
        );
      }
      return;
    }
    const history = parseHistory(response.text);
    const name = `${organisation}/${program}`;
    checkHistoryEntries(history).forEach((fault) => this.#report(`${name}: ${fault}`));
    const recordedKeys = getAnsweredKeys(history);
    const answeredEffects = new Set(answered.map(({ effect }) => effect));
    const recordedAnswers = recordedKeys.filter((key) => answeredEffects.has(key));
    if (recordedAnswers.join() !== answered.map(({ effect }) => effect).join()) {
      this.#report(`${name}: its history ${recordedAnswers.join()} is not what was answered`);
    }
    if (history.some(({ idempotencyKey }) => !idempotencyKey.startsWith(`${name}#`))) {
      this.#report(`${name}: its history holds another program's call`);
    }
  }

  async #checkFleet(): Promise<void> {
    const failures = this.#fleet.countNewAssertionFailures();
    if (failures > 0) this.#report(`${failures} assertions failed inside the instances`);
    if (this.#fleet.countKeySightings() > 0) this.#report("a target saw a caller's key");
    const held = await this.#fleet.findHeldSessions();
    if (held.length > 0) this.#report(`engine memory is held by ended programs: ${held.join()}`);
  }
}
