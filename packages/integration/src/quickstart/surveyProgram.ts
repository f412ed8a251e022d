import { delay } from '@limpetnotch/supervision';
import type { AgentCaller, ChatMessage, ChatResult } from './agentCaller';

const TOOL_PAUSE_MILLISECONDS = 300;

/** One line of the report: a call of the program. */
export interface ProgramStep {
  readonly program: string;
  readonly step: string;
  readonly milliseconds: number;
  readonly firstTokenMilliseconds: number | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Told of each step as it ends. */
export type StepListener = (step: ProgramStep) => void;

/** Options of {@link runSurvey}. */
export interface SurveyOptions {
  readonly caller: AgentCaller;
  readonly program: string;
  readonly onStep: StepListener;
}

class Conversation {
  readonly #options: SurveyOptions;

  readonly #program: string;

  readonly #messages: ChatMessage[];

  constructor(options: SurveyOptions, program: string, instructions: string) {
    this.#options = options;
    this.#program = program;
    this.#messages = [{ role: 'system', content: instructions }];
  }

  async turn(step: string, content: string, role: 'user' | 'tool' = 'user'): Promise<void> {
    const { caller, onStep } = this.#options;
    this.#messages.push({ role, content });
    const result = await caller.chat(this.#program, this.#messages);
    this.#messages.push({ role: 'assistant', content: result.text });
    onStep(Conversation.#stepOf(this.#program, step, result));
  }

  async tool(step: string, path: string, body: object): Promise<void> {
    const { caller, onStep } = this.#options;
    const startedAt = performance.now();
    const text = await caller.tool(path, this.#program, `${this.#program}-${step}`, body);
    this.#messages.push({ role: 'tool', content: text });
    onStep({
      program: this.#program,
      step,
      milliseconds: performance.now() - startedAt,
      firstTokenMilliseconds: undefined,
      promptTokens: 0,
      outputTokens: 0,
    });
  }

  static #stepOf(program: string, step: string, result: ChatResult): ProgramStep {
    const { milliseconds, firstTokenMilliseconds, promptTokens, outputTokens } = result;
    return { program, step, milliseconds, firstTokenMilliseconds, promptTokens, outputTokens };
  }
}

const runSubAgent = async (options: SurveyOptions): Promise<void> => {
  const estimate = new Conversation(
    options,
    `${options.program}/estimate-1`,
    'You draft quick estimates for fuse board upgrades.',
  );
  await estimate.turn('estimate', 'Draft the estimate for twelve circuits. [output=40]');
  await estimate.turn('estimate again', 'Add the surge protection. [output=30]');
};

/**
 * Runs one survey program: model turns, a tool pause, an idempotent and a non-idempotent tool call,
 * and a sub-agent beside the root.
 */
export const runSurvey = async (options: SurveyOptions): Promise<void> => {
  const survey = new Conversation(
    options,
    options.program,
    'You guide an electrician through a full rewire survey.',
  );
  await survey.turn(
    'first turn',
    'The board is from 1994 and has no residual current device. [output=60]',
  );
  await survey.tool('quote', '/tools/quote', { part: 'consumer unit', ways: 12 });
  await delay(TOOL_PAUSE_MILLISECONDS);
  await survey.turn('after the quote', 'The owner accepts the quote. [output=50]');
  await Promise.all([
    runSubAgent(options),
    survey.tool('deposit charge', '/tools/charge', { amount: 150, currency: 'JOD' }),
  ]);
  await survey.turn('last turn', 'Write the summary for the owner. [output=80]');
  await options.caller.end(options.program);
};
