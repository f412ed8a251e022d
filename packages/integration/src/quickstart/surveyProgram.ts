import { delay } from '@limpetnotch/supervision';
import type { AgentCaller, ChatMessage, ChatResult } from './agentCaller';

const TOOL_PAUSE_MILLISECONDS = 300;

/** A call of the program, reported as one line. */
export interface ProgramStep {
  readonly program: string;
  readonly step: string;
  readonly milliseconds: number;
  readonly firstTokenMilliseconds: number | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Called when a step has ended. */
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

  async runTurn(step: string, content: string, role: 'user' | 'tool' = 'user'): Promise<void> {
    const { caller, onStep } = this.#options;
    this.#messages.push({ role, content });
    const result = await caller.chat(this.#program, this.#messages);
    this.#messages.push({ role: 'assistant', content: result.text });
    onStep(Conversation.#toStep(this.#program, step, result));
  }

  async callTool(step: string, path: string, body: object): Promise<void> {
    const { caller, onStep } = this.#options;
    const startedAt = performance.now();
    const text = await caller.callTool(path, this.#program, `${this.#program}-${step}`, body);
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

  static #toStep(program: string, step: string, result: ChatResult): ProgramStep {
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
  await estimate.runTurn('estimate', 'Draft the estimate for twelve circuits. [output=40]');
  await estimate.runTurn('estimate again', 'Add the surge protection. [output=30]');
};

/**
 * Runs one survey program: model turns, a pause for a tool, an idempotent and a non-idempotent tool
 * call, and a sub-agent that runs in parallel with the root.
 */
export const runSurvey = async (options: SurveyOptions): Promise<void> => {
  const survey = new Conversation(
    options,
    options.program,
    'You guide an electrician through a full rewire survey.',
  );
  await survey.runTurn(
    'first turn',
    'The board is from 1994 and has no residual current device. [output=60]',
  );
  await survey.callTool('quote', '/tools/quote', { part: 'consumer unit', ways: 12 });
  await delay(TOOL_PAUSE_MILLISECONDS);
  await survey.runTurn('after the quote', 'The owner accepts the quote. [output=50]');
  await Promise.all([
    runSubAgent(options),
    survey.callTool('deposit charge', '/tools/charge', { amount: 150, currency: 'JOD' }),
  ]);
  await survey.runTurn('last turn', 'Write the summary for the owner. [output=80]');
  await options.caller.endProgram(options.program);
};
