/** Cost of the journal under one load. */
export interface JournalLoadFigures {
  readonly instances: number;
  readonly programs: number;
  readonly seconds: number;
  readonly callsPerSecond: number;
  readonly commitsPerCall: number;
  readonly storeWritesPerSecond: number;
  readonly storeReadsPerSecond: number;
  /** Time of the two commits of a call, its intent and its outcome. */
  readonly commitMillisecondsP50: number;
  readonly commitMillisecondsP95: number;
  /** Characters of a snapshot for each program held. */
  readonly snapshotCharactersPerProgram: number;
  readonly refusedCalls: number;
}

/** Times of recovery, in milliseconds. */
export interface RecoveryFigures {
  readonly rounds: number;
  readonly partitions: number;
  readonly p50: number;
  readonly p95: number;
  readonly maximum: number;
}

/** All figures of the journal bench. */
export interface JournalFigures {
  readonly loads: readonly JournalLoadFigures[];
  /** From the death of an owner until each of its partitions is served again. */
  readonly afterDeath: RecoveryFigures;
  /** From the first refusal of a partition until the next owner serves it. */
  readonly afterHandover: RecoveryFigures;
  readonly goals: readonly JournalGoal[];
}

/** One goal with its figure. */
export interface JournalGoal {
  readonly name: string;
  readonly bound: number;
  readonly value: number;
  readonly met: boolean;
}

/** Returns a quantile of samples; 0 where there is none. */
export const quantile = (samples: readonly number[], fraction: number): number => {
  const sorted = [...samples].sort((first, second) => first - second);
  const position = Math.min(sorted.length - 1, Math.ceil(sorted.length * fraction) - 1);
  return sorted[Math.max(0, position)] ?? 0;
};
