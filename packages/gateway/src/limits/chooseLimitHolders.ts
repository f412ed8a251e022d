import { hash32 } from '../util/hash32';

/** Instances that hand out the tokens of a target's limit. */
export interface LimitHolders {
  readonly owner: string | undefined;
  /** Hands out a smaller part to instances that can't reach the owner. */
  readonly deputy: string | undefined;
}

/** Returns the holders of a limit by rendezvous hashing, so that equal lists lead to equal ones. */
export const chooseLimitHolders = (
  incarnationKey: string,
  members: readonly string[],
): LimitHolders => {
  const ranked = members
    .map((name) => ({ name, score: hash32(`${incarnationKey}/${name}`) }))
    .sort((one, other) => other.score - one.score);
  return { owner: ranked[0]?.name, deputy: ranked[1]?.name };
};
