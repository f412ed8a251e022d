/** Cost of the journal under one load. */
export interface JournalLoadFigures {
  readonly instances: number;
  readonly programs: number;
  readonly seconds: number;
  readonly callsPerSecond: number;
  readonly commitsPerCall: number;
  readonly storeWritesPerSecond: number;
  readonly storeReadsPerSecond: number;
  /** Duration of the two commits of a call: its intent and its outcome. */
  readonly commitMillisecondsP50: number;
  readonly commitMillisecondsP95: number;
  /** Characters of the snapshots per program. */
  readonly snapshotCharactersPerProgram: number;
  readonly refusedCalls: number;
}

/** Recovery times, in milliseconds. */
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
  /** From the loss of an owner until each of its partitions is served again. */
  readonly afterDeath: RecoveryFigures;
  /** From the first refusal of a partition until the next owner serves it. */
  readonly afterHandover: RecoveryFigures;
  readonly goals: readonly JournalGoal[];
}

/** A goal with its bound and the measured value. */
export interface JournalGoal {
  readonly name: string;
  readonly bound: number;
  readonly value: number;
  readonly met: boolean;
}

/** Returns a quantile of the samples, or 0 if there are none. */
export const quantile = (samples: readonly number[], fraction: number): number => {
  const sorted = [...samples].sort((first, second) => first - second);
  const position = Math.min(sorted.length - 1, Math.ceil(sorted.length * fraction) - 1);
  return sorted[Math.max(0, position)] ?? 0;
};
