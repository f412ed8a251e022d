/** One step of a program; only the generator knows it beforehand. */
export type ProgramStep =
  /** A model call that goes on from the history. */
  | { readonly kind: 'model'; readonly promptCharacters: number; readonly outputTokens: number }
  /** A tool call; the tool's effect is named, so that it can be counted. */
  | { readonly kind: 'tool'; readonly isIdempotent: boolean; readonly pauseMilliseconds: number }
  /** Sub-agents that run beside each other. */
  | { readonly kind: 'agents'; readonly agents: readonly (readonly ProgramStep[])[] };

/** A program, when it starts and whose it is. */
export interface PlannedProgram {
  readonly name: string;
  readonly organisation: string;
  readonly startMilliseconds: number;
  readonly steps: readonly ProgramStep[];
}
