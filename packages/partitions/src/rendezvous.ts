import { createHash } from 'node:crypto';
import type { Member } from './member';

const SCORE_BYTES = 6;

const scoreOf = (partition: number, instance: string): number =>
  createHash('sha256').update(`${partition}/${instance}`).digest().readUIntBE(0, SCORE_BYTES);

/**
 * Ranks members for a partition by rendezvous hashing (highest random weight), the preferred owner
 * first. When a member joins or leaves, only the partitions that it gains or loses move.
 */
export const rankByRendezvous = (
  partition: number,
  members: readonly Member[],
): readonly Member[] => {
  const scored = members.map((member) => ({ member, score: scoreOf(partition, member.instance) }));
  scored.sort((first, second) => second.score - first.score);
  return scored.map(({ member }) => member);
};
