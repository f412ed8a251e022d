/** Options of {@link platformRequestHeaders}. */
export interface PlatformRequestOptions {
  readonly id: string;
  readonly host: string;
  readonly key: string;
  readonly deadlineMilliseconds: number;
  /** What a request to an engine says of its prompt. */
  readonly prompt?: {
    readonly part: string;
    readonly tokens: number;
    readonly answerTokens: number;
  };
  /** The program whose turn the request is. */
  readonly program?: string;
}

/** Far above what the turns of one program generate. */
const TOKEN_BUDGET = 100_000;
const FINISH_MILLISECONDS = 20_000;

/** Returns the headers of a caller's request on the platform. */
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
