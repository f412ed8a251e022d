import type { PrefixPart } from '@limpetnotch/scheduling';

/** The program that a request belongs to. */
export interface ProgramReference {
  readonly id: string;
  /** Identifies one sequence of turns of the program; undefined if the caller sends none. */
  readonly session: string | undefined;
  /** Time from the arrival of the request until the program should finish, in milliseconds. */
  readonly finishMilliseconds: number | undefined;
  /** Tokens that all turns of the program may generate. */
  readonly tokenBudget: number | undefined;
}

/** Sizes and prefixes that a model request declares for its prompt and output. */
export interface PromptShape {
  readonly inputTokens: number;
  readonly maximumOutputTokens: number;
  /** The caller's estimate of the output, which is often far off; undefined if it sends none. */
  readonly expectedOutputTokens: number | undefined;
  readonly parts: readonly PrefixPart[];
}

/** A request of a caller, decoded from its headers. */
export interface CallEnvelope {
  /** Identifier of this attempt, as the caller sent it. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  readonly pathAndQuery: string;
  /** Time that the caller waits from the arrival of the request, in milliseconds. */
  readonly patienceMilliseconds: number | undefined;
  /** API key of the caller. */
  readonly key: string | undefined;
  readonly program: ProgramReference | undefined;
  readonly prompt: PromptShape | undefined;
  /** Names the object that the request concerns; undefined if the caller sends none. */
  readonly objectKey: string | undefined;
  /** Identifier of the last event of a stream that the caller has received. */
  readonly lastEventId: string | undefined;
  /** Identifier of the attempt that brought the first event of a stream that the caller resumes. */
  readonly resumedRequestId: string | undefined;
  /** Identifier of the turn that this one continues; undefined at the start of a chain. */
  readonly previousTurnId: string | undefined;
  /** Headers that are passed to a target unchanged, as alternating names and values. */
  readonly passedHeaders: readonly string[];
}
