import { rankInstances } from '../util/rankInstances';

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
  const [owner, deputy] = rankInstances(incarnationKey, members);
  return { owner, deputy };
};
