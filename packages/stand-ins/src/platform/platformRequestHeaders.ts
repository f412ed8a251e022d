/** Options of {@link platformRequestHeaders}. */
export interface PlatformRequestOptions {
  readonly id: string;
  readonly host: string;
  readonly key: string;
  readonly deadlineMilliseconds: number;
  /** Description of the prompt, for a request to an engine. */
  readonly prompt?: {
    readonly part: string;
    readonly tokens: number;
    readonly answerTokens: number;
  };
  /** Program that the request is a turn of. */
  readonly program?: string;
}

/** Far more tokens than the turns of one program generate. */
const TOKEN_BUDGET = 100_000;
const FINISH_MILLISECONDS = 20_000;

/** Returns the headers that a caller on the platform sends with a request. */
export const platformRequestHeaders = (options: PlatformRequestOptions): Record<string, string> => {
  const { id, host, key, deadlineMilliseconds, prompt, program } = options;
  return {
    host,
    authorization: `Token ${key}`,
    'request-id': id,
    'deadline-milliseconds': String(deadlineMilliseconds),
    ...(prompt && {
      model: 'm',
      'token-counts': `${prompt.tokens},${prompt.answerTokens}`,
      'prompt-prefix': `${Buffer.from(prompt.part).toString('hex')}:${prompt.tokens}`,
    }),
    ...(program !== undefined && {
      'program-id': program,
      'session-id': program,
      'finish-milliseconds': String(FINISH_MILLISECONDS),
      'token-budget': String(TOKEN_BUDGET),
    }),
  };
};
