import type { Member } from './member';
import { rankByRendezvous } from './rendezvous';

/** Number of witnesses of a partition, if there are enough peers. */
export const WITNESS_COUNT = 3;

/**
 * Chooses the witnesses of a partition among the peers of its owner by rendezvous hashing: first
 * one from each availability zone other than that of the owner, then the remaining peers.
 */
export const chooseWitnesses = (
  partition: number,
  owner: Member,
  members: readonly Member[],
): readonly Member[] => {
  const peers = members.filter(({ instance, leaving }) => instance !== owner.instance && !leaving);
  const ranked = rankByRendezvous(partition, peers);
  const coveredAvailabilityZones = new Set([owner.availabilityZone]);
  const acrossAvailabilityZones = ranked.filter(({ availabilityZone }) => {
    const isNew = !coveredAvailabilityZones.has(availabilityZone);
    coveredAvailabilityZones.add(availabilityZone);
    return isNew;
  });
  const remaining = ranked.filter((member) => !acrossAvailabilityZones.includes(member));
  return [...acrossAvailabilityZones, ...remaining].slice(0, WITNESS_COUNT);
};

/** Returns the size of a majority of the witnesses; for an empty list 1, which is never reached. */
export const computeMajority = (witnesses: readonly Member[]): number =>
  Math.floor(witnesses.length / 2) + 1;
