import { waitMilliseconds } from '../util/waitMilliseconds';
import type { CallResult } from './callResult';
import { completionText } from './completionText';
import type { EntryCall, EntryCaller } from './entryCaller';
import type { PlannedProgram, ProgramStep } from './programShape';

const BACKOFF_MILLISECONDS = 200;
const MAXIMUM_BACKOFF_MILLISECONDS = 2_000;

/** Problems after which the same call may be retried. */
const RETRYABLE_PROBLEMS: ReadonlySet<string> = new Set([
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

/** One call of a program, with its request and its result. */
export interface FinishedStep {
  readonly organisation: string;
  /** Full path of the program. */
  readonly program: string;
  /** Position of the call in its program or sub-agent, starting at 0. */
  readonly place: number;
  readonly kind: 'model' | 'tool';
  readonly isIdempotent: boolean;
  /** Identifier of the call; a tool finds it in the body as `effect`. */
  readonly effect: string;
  /** Messages of a model call. */
  readonly messages: readonly ConversationMessage[];
  readonly result: CallResult;
  readonly attempts: number;
  /** Number of attempts that were refused with `rate-exceeded`. */
  readonly refusedForRate: number;
}

/** Options of {@link ProgramRunner}. */
export interface ProgramRunnerOptions {
  readonly caller: EntryCaller;
  /** Addresses of the entries; attempts use them in turn. */
  readonly entries: () => readonly string[];
  /** Returns the key of an organisation. */
  readonly keyOf: (organisation: string) => string;
  readonly model: string;
  readonly modelPath: string;
  readonly idempotentToolPath: string;
  readonly nonIdempotentToolPath: string;
  /** Timeout of an attempt, in milliseconds. */
  readonly attemptMilliseconds: number;
  /** Time after which a call is no longer retried, in milliseconds. */
  readonly patienceMilliseconds: number;
  readonly onStep: (step: FinishedStep) => void;
}

interface Agent {
  readonly organisation: string;
  readonly path: string;
  readonly messages: ConversationMessage[];
  place: number;
}

/**
 * Runs planned programs as callers do: calls in order, and retries with the same idempotency key.
 */
export class ProgramRunner {
  readonly #options: ProgramRunnerOptions;

  #attempts = 0;

  constructor(options: ProgramRunnerOptions) {
    this.#options = options;
  }

  /** Runs a program to its end; resolves to whether every call succeeded. */
  async run({ organisation, name, steps }: PlannedProgram): Promise<boolean> {
    const isComplete = await this.#runAgent(
      { organisation, path: name, messages: [], place: 0 },
      steps,
    );
    await this.#callWithRetries({
      path: `/limpetnotch/v1/programs/${name}`,
      method: 'DELETE',
      key: this.#options.keyOf(organisation),
    });
    return isComplete;
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
    const result = await this.#callAndRecord(
      agent,
      { path: modelPath, body },
      'model',
      true,
      messages,
    );
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
    const effect = ProgramRunner.#getEffect(agent);
    const result = await this.#callAndRecord(
      agent,
      { path, body: { effect } },
      'tool',
      isIdempotent,
      [],
    );
    await waitMilliseconds(pauseMilliseconds);
    return result.kind === 'answered';
  }

  async #callAndRecord(
    agent: Agent,
    call: Pick<EntryCall, 'path' | 'body'>,
    kind: FinishedStep['kind'],
    isIdempotent: boolean,
    messages: readonly ConversationMessage[],
  ): Promise<CallResult> {
    const { organisation, path: program, place } = agent;
    const { keyOf, onStep } = this.#options;
    const effect = ProgramRunner.#getEffect(agent);
    const key = keyOf(organisation);
    const outcome = await this.#callWithRetries({ ...call, key, program, idempotencyKey: effect });
    onStep({ organisation, program, place, kind, isIdempotent, effect, messages, ...outcome });
    const running = agent;
    running.place += 1;
    return outcome.result;
  }

  async #callWithRetries(
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
      await waitMilliseconds(ProgramRunner.#getRetryDelay(result, attempts));
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
        return RETRYABLE_PROBLEMS.has(result.problem);
      default:
        return result satisfies never;
    }
  }

  static #getRetryDelay(result: CallResult, attempts: number): number {
    if (result.kind === 'problem' && result.retryAfterMilliseconds !== undefined) {
      return result.retryAfterMilliseconds;
    }
    return Math.min(MAXIMUM_BACKOFF_MILLISECONDS, BACKOFF_MILLISECONDS * attempts);
  }

  static #getEffect({ organisation, path, place }: Agent): string {
    return `${organisation}/${path}#${place}`;
  }
}
