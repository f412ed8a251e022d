import { waitMilliseconds } from '../util/waitMilliseconds';
import type { CallResult } from './callResult';
import { completionText } from './completionText';
import type { EntryCall, EntryCaller } from './entryCaller';
import type { PlannedProgram, ProgramStep } from './programShape';

const BACKOFF_MILLISECONDS = 200;
const MAXIMUM_BACKOFF_MILLISECONDS = 2_000;

/** Problems after which the same call may be made again. */
const PASSING_PROBLEMS: ReadonlySet<string> = new Set([
  'rate-exceeded',
  'queue-full',
  'not-ready',
  'owner-unreachable',
  'journal-unavailable',
  'partition-stopped',
  'not-owner',
  'no-target',
  'retry-budget-spent',
  'target-unreachable',
  'cancelled',
]);

/** One message of a conversation. */
export interface ConversationMessage {
  readonly role: string;
  readonly content: string;
}

/** One call of a program with all that was asked and how it ended. */
export interface FinishedStep {
  readonly organisation: string;
  /** Full path of the program. */
  readonly program: string;
  /** Place of the call in its program, from 0 on. */
  readonly place: number;
  readonly kind: 'model' | 'tool';
  readonly isIdempotent: boolean;
  /** Identifier of the call; a tool finds it in the body as `effect`. */
  readonly effect: string;
  /** Messages of a model call. */
  readonly messages: readonly ConversationMessage[];
  readonly result: CallResult;
  readonly attempts: number;
  /** Attempts that were refused for the rate. */
  readonly refusedForRate: number;
}

/** Options of {@link ProgramRunner}. */
export interface ProgramRunnerOptions {
  readonly caller: EntryCaller;
  /** Addresses of the entries; each attempt goes to the next one. */
  readonly entries: () => readonly string[];
  /** Returns the key of an organisation. */
  readonly keyOf: (organisation: string) => string;
  readonly model: string;
  readonly modelPath: string;
  readonly idempotentToolPath: string;
  readonly nonIdempotentToolPath: string;
  /** Time after which an attempt is given up, in milliseconds. */
  readonly attemptMilliseconds: number;
  /** Time after which a call is not tried again, in milliseconds. */
  readonly patienceMilliseconds: number;
  readonly onStep: (step: FinishedStep) => void;
}

interface Agent {
  readonly organisation: string;
  readonly path: string;
  readonly messages: ConversationMessage[];
  place: number;
}

/** Runs planned programs as callers do: calls in order, retries with the same idempotency key. */
export class ProgramRunner {
  readonly #options: ProgramRunnerOptions;

  #attempts = 0;

  constructor(options: ProgramRunnerOptions) {
    this.#options = options;
  }

  /** Runs a program to its end; resolves to whether every call was answered. */
  async run({ organisation, name, steps }: PlannedProgram): Promise<boolean> {
    const isWhole = await this.#runAgent(
      { organisation, path: name, messages: [], place: 0 },
      steps,
    );
    await this.#untilFinal({
      path: `/limpetnotch/v1/programs/${name}`,
      method: 'DELETE',
      key: this.#options.keyOf(organisation),
    });
    return isWhole;
  }

  async #runAgent(agent: Agent, steps: readonly ProgramStep[]): Promise<boolean> {
    for (const [index, step] of steps.entries()) {
      if (!(await this.#runStep(agent, step, index))) return false;
    }
    return true;
  }

  async #runStep(agent: Agent, step: ProgramStep, index: number): Promise<boolean> {
    switch (step.kind) {
      case 'model':
        return this.#callModel(agent, step);
      case 'tool':
        return this.#callTool(agent, step);
      case 'agents': {
        const { organisation, path } = agent;
        const ended = await Promise.all(
          step.agents.map((steps, number) => {
            const child = { organisation, path: `${path}/agent-${index}-${number}` };
            return this.#runAgent({ ...child, messages: [], place: 0 }, steps);
          }),
        );
        return ended.every(Boolean);
      }
      default:
        return step satisfies never;
    }
  }

  async #callModel(
    agent: Agent,
    { promptCharacters, outputTokens }: Extract<ProgramStep, { kind: 'model' }>,
  ): Promise<boolean> {
    const filler = 'x'.repeat(promptCharacters);
    const content = `${agent.organisation} ${agent.path} ${agent.place} ${filler} [output=${outputTokens}]`;
    agent.messages.push({ role: 'user', content });
    const messages = [...agent.messages];
    const { model, modelPath } = this.#options;
    const body = { model, messages, stream: agent.place % 2 === 0, max_tokens: outputTokens };
    const result = await this.#finish(agent, { path: modelPath, body }, 'model', true, messages);
    if (result.kind !== 'answered') return false;
    agent.messages.push({ role: 'assistant', content: completionText(result.text) });
    return true;
  }

  async #callTool(
    agent: Agent,
    { isIdempotent, pauseMilliseconds }: Extract<ProgramStep, { kind: 'tool' }>,
  ): Promise<boolean> {
    const { idempotentToolPath, nonIdempotentToolPath } = this.#options;
    const path = isIdempotent ? idempotentToolPath : nonIdempotentToolPath;
    const effect = ProgramRunner.#effectOf(agent);
    const result = await this.#finish(agent, { path, body: { effect } }, 'tool', isIdempotent, []);
    await waitMilliseconds(pauseMilliseconds);
    return result.kind === 'answered';
  }

  async #finish(
    agent: Agent,
    call: Pick<EntryCall, 'path' | 'body'>,
    kind: FinishedStep['kind'],
    isIdempotent: boolean,
    messages: readonly ConversationMessage[],
  ): Promise<CallResult> {
    const { organisation, path: program, place } = agent;
    const { keyOf, onStep } = this.#options;
    const effect = ProgramRunner.#effectOf(agent);
    const key = keyOf(organisation);
    const tried = await this.#untilFinal({ ...call, key, program, idempotencyKey: effect });
    onStep({ organisation, program, place, kind, isIdempotent, effect, messages, ...tried });
    const running = agent;
    running.place += 1;
    return tried.result;
  }

  async #untilFinal(
    call: Omit<EntryCall, 'entry'>,
  ): Promise<Pick<FinishedStep, 'result' | 'attempts' | 'refusedForRate'>> {
    const giveUpAt = performance.now() + this.#options.patienceMilliseconds;
    let refusedForRate = 0;
    for (let attempts = 1; ; attempts += 1) {
      const result = await this.#attempt(call);
      if (result.kind === 'problem' && result.problem === 'rate-exceeded') refusedForRate += 1;
      if (!ProgramRunner.#mayRetry(result) || performance.now() > giveUpAt) {
        return { result, attempts, refusedForRate };
      }
      await waitMilliseconds(ProgramRunner.#waitBefore(result, attempts));
    }
  }

  #attempt(call: Omit<EntryCall, 'entry'>): Promise<CallResult> {
    const entries = this.#options.entries();
    this.#attempts += 1;
    const entry = entries[this.#attempts % entries.length] ?? '';
    return this.#options.caller.call({
      timeoutMilliseconds: this.#options.attemptMilliseconds,
      ...call,
      entry,
    });
  }

  static #mayRetry(result: CallResult): boolean {
    switch (result.kind) {
      case 'answered':
        return false;
      case 'broken':
        return true;
      case 'problem':
        return PASSING_PROBLEMS.has(result.problem);
      default:
        return result satisfies never;
    }
  }

  static #waitBefore(result: CallResult, attempts: number): number {
    if (result.kind === 'problem' && result.retryAfterMilliseconds !== undefined) {
      return result.retryAfterMilliseconds;
    }
    return Math.min(MAXIMUM_BACKOFF_MILLISECONDS, BACKOFF_MILLISECONDS * attempts);
  }

  static #effectOf({ organisation, path, place }: Agent): string {
    return `${organisation}/${path}#${place}`;
  }
}
