import { createHash } from 'node:crypto';
import { placePlainRequest } from '../capacity/placePlainRequest';
import { PREFILL_MILLISECONDS_PER_TOKEN } from './estimateEngineMilliseconds';

/** State of a target as seen by the instance that places a request. */
export interface PlacementCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Concurrent requests that the target handles well; its slots if nothing was learned. */
  readonly capacity?: number;
  /** Running and waiting requests of all instances, as last reported and corrected since. */
  readonly estimatedLoad: number;
  /** Service time relative to the usual time; 1 is usual, 2 is half as fast. */
  readonly slowness: number;
  /** Prompt tokens of the request that the target probably caches. */
  readonly cachedTokens: number;
}

/** Properties of a request that determine its placement. */
export interface PlacementRequest {
  /** Availability zone whose targets are preferred. */
  readonly availabilityZone: string;
  /** Requests, with this one, that instances place before they see one another's choices. */
  readonly concurrentRequests?: number;
  /** Spreads requests among several instances; not needed by a single one. */
  readonly random?: () => number;
  readonly work: PlacementWork;
}

/** Work that a request causes at a target. */
export type PlacementWork =
  | { readonly kind: 'plain' }
  /** A plain request that is served faster where its object was handled recently. */
  | { readonly kind: 'object'; readonly objectKey: string }
  | {
      readonly kind: 'model';
      /** Key shared by a program's requests, so that all instances choose the same home target. */
      readonly affinityKey: string | undefined;
      readonly promptTokens: number;
      /** Usual duration of such a request, in milliseconds. */
      readonly usualMilliseconds: number;
    };

/** Chosen target and the reason for it. */
export interface Placement {
  readonly targetId: string;
  readonly reason:
    'cached-prompt' | 'home' | 'least-cost' | 'least-loaded' | 'object' | 'object-spill';
}

/**
 * Load per slot by which the target of an object may exceed the least loaded one. The gain of a
 * target that handled the object is not known; half of its slots is worth less than a wait.
 */
const OBJECT_LOAD_MARGIN = 0.5;

/** Network round trip to another availability zone. */
const OTHER_ZONE_ROUND_TRIP_MILLISECONDS = 2;

/**
 * Delay that each other request at an engine causes: while a request runs, prefill of another
 * request with about 800 uncached tokens runs between its steps.
 */
const CONCURRENT_REQUEST_MILLISECONDS = 8;

/** Benefit of starting a program at the target that other instances would also choose. */
const HOME_BONUS_MILLISECONDS = 40;

/** Additional time that a request may take so that instances with different views agree. */
const AGREEMENT_MILLISECONDS = 20;

const SCORE_BYTES = 6;

/** Returns a target's weight for a key in rendezvous hashing (highest random weight). */
const computeRendezvousScore = (key: string, targetId: string): number =>
  createHash('md5').update(key).update('/').update(targetId).digest().readUIntBE(0, SCORE_BYTES);

const findCheapest = (
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

/** Relative time of a plain request at a target, from the load for each of its slots. */
const computePlainCost = ({ estimatedLoad, slowness, slots }: PlacementCandidate): number =>
  ((estimatedLoad + 1) * slowness) / slots;

const findHome = (
  key: string | undefined,
  candidates: readonly PlacementCandidate[],
): PlacementCandidate | undefined =>
  key === undefined
    ? undefined
    : findCheapest(candidates, ({ id }) => -computeRendezvousScore(key, id));

const placePlain = (
  { availabilityZone, concurrentRequests = 1, random }: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): Placement | undefined => {
  const chosen = placePlainRequest(
    candidates.map((candidate) => ({
      id: candidate.id,
      availabilityZone: candidate.availabilityZone,
      load: candidate.estimatedLoad,
      capacity: candidate.capacity ?? candidate.slots,
      slowness: candidate.slowness,
    })),
    { availabilityZone, concurrentRequests, random },
  );
  return chosen && { targetId: chosen.id, reason: 'least-loaded' };
};

/**
 * Chooses the target of a request on an object: the first in the rendezvous order of its key that is
 * not much busier than the least loaded one. All instances have the same order, so that the requests
 * that a busy target can't take meet at the same next one.
 */
const placeObject = (
  objectKey: string,
  candidates: readonly PlacementCandidate[],
): Placement | undefined => {
  const highestCost = Math.min(...candidates.map(computePlainCost)) + OBJECT_LOAD_MARGIN;
  const hasFreeSlot = ({ estimatedLoad, slots }: PlacementCandidate): boolean =>
    estimatedLoad + 1 <= slots;
  const isAnyFree = candidates.some(hasFreeSlot);
  const home = findHome(objectKey, candidates);
  const suitable = candidates.filter(
    (candidate) =>
      computePlainCost(candidate) <= highestCost && (!isAnyFree || hasFreeSlot(candidate)),
  );
  const chosen = findHome(objectKey, suitable) ?? findCheapest(candidates, computePlainCost);
  if (!chosen) return undefined;
  return { targetId: chosen.id, reason: chosen === home ? 'object' : 'object-spill' };
};

/**
 * Returns the target that all instances would choose among those that are nearly as cheap as the
 * cheapest. If each chose the cheapest, instances with the same reports would choose the same one.
 */
const findAgreed = (
  key: string | undefined,
  candidates: readonly PlacementCandidate[],
  cheapest: PlacementCandidate,
  costOf: (candidate: PlacementCandidate) => number,
): PlacementCandidate => {
  const highestCost = costOf(cheapest) + AGREEMENT_MILLISECONDS;
  const alike = candidates.filter(
    (candidate) =>
      candidate.cachedTokens <= cheapest.cachedTokens && costOf(candidate) <= highestCost,
  );
  return findHome(key, alike) ?? cheapest;
};

/**
 * Chooses a target. The cost model is designed for programs whose turns share a growing prompt: a
 * request goes to the target with the earliest expected completion, which accounts for prefill of
 * its uncached prompt, prefill of concurrent requests, the queue for a slot and the target's speed.
 * If no target caches more of the prompt than the others, the program's home target gets a bonus,
 * so that its requests meet at one target whichever instance they reach. Plain requests go to the
 * target of their object or, without one, to the target with the least load for its capacity and
 * speed, with a margin in favour of one zone.
 */
export const placeRequest = (
  request: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): Placement | undefined => {
  const { availabilityZone: zone, work } = request;
  if (work.kind === 'plain') return placePlain(request, candidates);
  if (work.kind === 'object') return placeObject(work.objectKey, candidates);
  const { affinityKey, promptTokens, usualMilliseconds } = work;
  const mostCached = Math.max(0, ...candidates.map(({ cachedTokens }) => cachedTokens));
  const leastCached = Math.min(...candidates.map(({ cachedTokens }) => cachedTokens));
  const isEquallyCached = mostCached === leastCached;
  const home = isEquallyCached ? findHome(affinityKey, candidates) : undefined;
  const costOf = (candidate: PlacementCandidate): number => {
    const { estimatedLoad, slots, capacity = slots, slowness, cachedTokens } = candidate;
    // Prefill delays all requests that run at the target, not only this one.
    const prefill =
      (promptTokens - cachedTokens) * PREFILL_MILLISECONDS_PER_TOKEN * (1 + estimatedLoad);
    const contention = estimatedLoad * CONCURRENT_REQUEST_MILLISECONDS;
    const queue = (Math.max(0, estimatedLoad + 1 - capacity) * usualMilliseconds) / capacity;
    const roundTrip = candidate.availabilityZone === zone ? 0 : OTHER_ZONE_ROUND_TRIP_MILLISECONDS;
    const bonus = candidate === home ? HOME_BONUS_MILLISECONDS : 0;
    return (usualMilliseconds + prefill + contention + queue) * slowness + roundTrip - bonus;
  };
  const cheapest = findCheapest(candidates, costOf);
  if (!cheapest) return undefined;
  if (cheapest === home) return { targetId: cheapest.id, reason: 'home' };
  if (!isEquallyCached && cheapest.cachedTokens === mostCached) {
    return { targetId: cheapest.id, reason: 'cached-prompt' };
  }
  const others = candidates.filter((candidate) => candidate !== home);
  const agreed = findAgreed(affinityKey, others, cheapest, costOf);
  return { targetId: agreed.id, reason: 'least-cost' };
};
