import type { Member } from './member';
import { rankByRendezvous } from './rendezvous';

/** Witnesses of one partition. */
export const WITNESS_COUNT = 3;

/**
 * Chooses the witnesses of a partition: peers of the owner by rendezvous hashing, first one of
 * each availability zone that the owner is not in, then the others.
 */
export const chooseWitnesses = (
  partition: number,
  owner: Member,
  members: readonly Member[],
): readonly Member[] => {
  const peers = members.filter(({ instance, leaving }) => instance !== owner.instance && !leaving);
  const ranked = rankByRendezvous(partition, peers);
  const zones = new Set([owner.availabilityZone]);
  const spread = ranked.filter(({ availabilityZone }) => {
    const isNew = !zones.has(availabilityZone);
    zones.add(availabilityZone);
    return isNew;
  });
  const others = ranked.filter((member) => !spread.includes(member));
  return [...spread, ...others].slice(0, WITNESS_COUNT);
};

/** Returns how many witnesses are a majority; one more than there are where there is none. */
export const majorityOf = (witnesses: readonly Member[]): number =>
  Math.floor(witnesses.length / 2) + 1;
