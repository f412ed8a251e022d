import type { ChosenReaders, RankNames } from './chooseReaders';

/** Readers of other availability zones that an instance tries in one round. */
const FAR_READERS_PER_ROUND = 2;

/** Who looks for a reader, and for the how manieth time since it had one. */
export interface ReaderSearch {
  readonly instance: string;
  readonly availabilityZone: string | undefined;
  /** Rounds in which no reader relayed anything. */
  readonly failedRounds: number;
}

/**
 * Returns the readers in the order in which an instance tries them in one round: those of its
 * availability zone, then some of the others, which change with each round. Each instance has an
 * order of its own, so that the followers spread over the readers.
 */
export const orderReaders = (
  readers: ChosenReaders,
  { instance, availabilityZone, failedRounds }: ReaderSearch,
  rank: RankNames,
): readonly string[] => {
  const near = readers.get(availabilityZone ?? '') ?? [];
  const far = [...readers.values()].flat().filter((name) => !near.includes(name));
  const ranked = rank(instance, far);
  const first = ranked.length === 0 ? 0 : (failedRounds * FAR_READERS_PER_ROUND) % ranked.length;
  const rotated = [...ranked.slice(first), ...ranked.slice(0, first)];
  return [...rank(instance, near), ...rotated.slice(0, FAR_READERS_PER_ROUND)].filter(
    (name) => name !== instance,
  );
};
