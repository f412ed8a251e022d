/** One step of a program, which the instances do not know in advance. */
export type ProgramStep =
  /** A model call that continues the conversation. */
  | { readonly kind: 'model'; readonly promptCharacters: number; readonly outputTokens: number }
  /** A tool call; its effect has an identifier, so that executions can be counted. */
  | { readonly kind: 'tool'; readonly isIdempotent: boolean; readonly pauseMilliseconds: number }
  /** Sub-agents that run concurrently. */
  | { readonly kind: 'agents'; readonly agents: readonly (readonly ProgramStep[])[] };

/** A program with its start time and organisation. */
export interface PlannedProgram {
  readonly name: string;
  readonly organisation: string;
  readonly startMilliseconds: number;
  readonly steps: readonly ProgramStep[];
}
