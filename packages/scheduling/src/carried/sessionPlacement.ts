import { createHash } from 'node:crypto';

/** A target as one instance sees it when it places a request. */
export interface PlacementCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Requests of all instances there, running or waiting, as last heard and corrected since. */
  readonly estimatedLoad: number;
  /** Service time against the usual; 1 is usual, 2 is half as fast. */
  readonly slowness: number;
  /** Tokens of the request's prompt that are in the target's memory, as far as is known. */
  readonly cachedTokens: number;
}

/** What decides where one request goes. */
export interface PlacementRequest {
  readonly availabilityZone: string;
  readonly work: PlacementWork;
}

/** What a request costs at a target. */
export type PlacementWork =
  | { readonly kind: 'plain' }
  | {
      readonly kind: 'model';
      /** Requests of one program have the same key, so that instances agree where it begins. */
      readonly affinityKey: string | undefined;
      readonly promptTokens: number;
      /** Time that such a request usually takes, in milliseconds. */
      readonly usualMilliseconds: number;
    };

/** Where a request goes, and why. */
export interface Placement {
  readonly targetId: string;
  readonly reason: 'cached-prompt' | 'home' | 'least-cost' | 'least-loaded';
}

/** Share of a slot that a target in another availability zone must be less loaded to be chosen. */
const OTHER_ZONE_LOAD_MARGIN = 0.15;

/** Way to another availability zone and back, in milliseconds. */
const OTHER_ZONE_MILLISECONDS = 2;

/** Time to read a token of a prompt: 77 tokens a millisecond on the engines served so far. */
const READ_MILLISECONDS_PER_TOKEN = 0.013;

/**
 * Time by which each other request at an engine delays one: while it runs, another one of some 800
 * tokens that aren't in memory is read between its steps.
 */
const NEIGHBOUR_MILLISECONDS = 8;

/** What it is worth that a program begins where other instances would send it, too. */
const HOME_MILLISECONDS = 40;

const SCORE_BYTES = 6;

/** Returns a number that ranks a target for a key by rendezvous hashing (highest random weight). */
const rendezvousScore = (key: string, targetId: string): number =>
  createHash('md5').update(key).update('/').update(targetId).digest().readUIntBE(0, SCORE_BYTES);

const cheapest = (
  candidates: readonly PlacementCandidate[],
  costOf: (candidate: PlacementCandidate) => number,
): PlacementCandidate | undefined =>
  candidates.reduce<{ candidate: PlacementCandidate; cost: number } | undefined>(
    (best, candidate) => {
      const cost = costOf(candidate);
      return best && best.cost <= cost ? best : { candidate, cost };
    },
    undefined,
  )?.candidate;

const homeOf = (
  key: string | undefined,
  candidates: readonly PlacementCandidate[],
): PlacementCandidate | undefined =>
  key === undefined ? undefined : cheapest(candidates, ({ id }) => -rendezvousScore(key, id));

const placePlain = (
  zone: string,
  candidates: readonly PlacementCandidate[],
): Placement | undefined => {
  const chosen = cheapest(
    candidates,
    ({ estimatedLoad, slowness, slots, availabilityZone }) =>
      ((estimatedLoad + 1) * slowness) / slots +
      (availabilityZone === zone ? 0 : OTHER_ZONE_LOAD_MARGIN),
  );
  return chosen && { targetId: chosen.id, reason: 'least-loaded' };
};

/**
 * Chooses a target. Answers a load of programs whose turns share a growing prompt: a request goes
 * where it should end first, counting the prompt that must be read there, the neighbours that are
 * read meanwhile, the queue for a slot, and the target's speed. Where no target has the prompt, a
 * program's home is preferred, so that its requests meet at one target whichever instance they
 * reach. Plain requests go to the least loaded target, with a margin for the own availability zone.
 */
export const placeRequest = (
  { availabilityZone: zone, work }: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): Placement | undefined => {
  if (work.kind === 'plain') return placePlain(zone, candidates);
  const { affinityKey, promptTokens, usualMilliseconds } = work;
  const mostCached = Math.max(0, ...candidates.map(({ cachedTokens }) => cachedTokens));
  const leastCached = Math.min(...candidates.map(({ cachedTokens }) => cachedTokens));
  const isUnknown = mostCached === leastCached;
  const home = isUnknown ? homeOf(affinityKey, candidates) : undefined;
  const chosen = cheapest(candidates, (candidate) => {
    const { estimatedLoad, slots, slowness, cachedTokens } = candidate;
    // Reading a prompt holds up all that run at the target, not only the request itself.
    const read = (promptTokens - cachedTokens) * READ_MILLISECONDS_PER_TOKEN * (1 + estimatedLoad);
    const neighbours = estimatedLoad * NEIGHBOUR_MILLISECONDS;
    const queue = (Math.max(0, estimatedLoad + 1 - slots) * usualMilliseconds) / slots;
    const way = candidate.availabilityZone === zone ? 0 : OTHER_ZONE_MILLISECONDS;
    const bonus = candidate === home ? HOME_MILLISECONDS : 0;
    return (usualMilliseconds + read + neighbours + queue) * slowness + way - bonus;
  });
  if (!chosen) return undefined;
  if (chosen === home) return { targetId: chosen.id, reason: 'home' };
  const isCached = !isUnknown && chosen.cachedTokens === mostCached;
  return { targetId: chosen.id, reason: isCached ? 'cached-prompt' : 'least-cost' };
};
