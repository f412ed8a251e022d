/** What one service can take from the programs of an instance while targets limit their requests. */
export interface LimitedServiceLoad {
  /** Requests per second that this instance may send to the service. */
  readonly requestsPerSecond: number;
  /** Requests per second that a program under way sends to the service. */
  readonly requestsPerProgramSecond: number;
}

/** Input of the decision whether a program may start. */
export interface ProgramStartSituation {
  /** Programs of this instance that are under way. */
  readonly activePrograms: number;
  /** Rank of the program's organisation or route; 0 is the highest. */
  readonly priority: number;
  /** Services with limited targets that programs use. */
  readonly services: readonly LimitedServiceLoad[];
}

/** Share of the capacity that the programs under way may need, for programs of the highest rank. */
const USABLE_SHARE = 1;

/** Reduction of that share for each rank below the highest, down to a minimum. */
const SHARE_PER_RANK = 0.1;
const LEAST_USABLE_SHARE = 0.7;

/**
 * Decides whether a program may start while targets limit their requests. If more programs run than
 * the targets can take, each gets a part of its turns and nearly all end late or are refused midway.
 * So only as many run as can be served to their end; the others are refused at their first turn,
 * those of the lowest priority first. The service with the least capacity decides, also when a
 * program reaches it only with a later request.
 */
export const admitProgramStart = (situation: ProgramStartSituation): boolean => {
  const { activePrograms, priority, services } = situation;
  if (activePrograms === 0) return true;
  const usableShare = Math.max(LEAST_USABLE_SHARE, USABLE_SHARE - priority * SHARE_PER_RANK);
  return services.every(
    ({ requestsPerSecond, requestsPerProgramSecond }) =>
      (activePrograms + 1) * requestsPerProgramSecond <= requestsPerSecond * usableShare,
  );
};
