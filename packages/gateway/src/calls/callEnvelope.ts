import type { PrefixPart } from '@limpetnotch/scheduling';

/** The program that a request belongs to. */
export interface ProgramReference {
  readonly id: string;
  /** One value for each line of turns; undefined where the caller names none. */
  readonly session: string | undefined;
  /** Time until the program should be finished, from the request's arrival, in milliseconds. */
  readonly finishMilliseconds: number | undefined;
  /** Tokens that all turns of the program may generate. */
  readonly tokenBudget: number | undefined;
}

/** What a request for a model says of its prompt and its output. */
export interface PromptShape {
  readonly inputTokens: number;
  readonly maximumOutputTokens: number;
  readonly parts: readonly PrefixPart[];
}

/** A request of a caller, decoded from its headers. */
export interface CallEnvelope {
  /** Identifier of this attempt, as the caller sent it. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  readonly pathAndQuery: string;
  /** How long the caller waits, from the request's arrival, in milliseconds. */
  readonly patienceMilliseconds: number | undefined;
  /** Key of the caller. */
  readonly key: string | undefined;
  readonly program: ProgramReference | undefined;
  readonly prompt: PromptShape | undefined;
  /** Identifier of the last event that the caller has seen of a stream. */
  readonly lastEventId: string | undefined;
  /** Names and values by turns, of the headers that pass through to a target unchanged. */
  readonly passedHeaders: readonly string[];
}
