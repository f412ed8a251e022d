import type { CachedPrefix, CacheHints } from './cacheHints';
import type { SchedulerSettings } from './schedulerSettings';
import type { SchedulingPolicy } from './schedulingPolicy';
import type { CandidateTargets } from './targetPool';
import type { TargetView } from './targetView';
import type { WaitingCall } from './waitingCall';

const SUSPECT_COST_MILLISECONDS = 60_000;

/** Decision on where a call runs. */
export type PlacementDecision =
  | { readonly kind: 'place'; readonly view: TargetView; readonly hint: CachedPrefix | undefined }
  /** Waiting for a full target that caches the prompt is cheaper. */
  | { readonly kind: 'hold' }
  /** No target has an open slot. */
  | { readonly kind: 'no-room' };

/** Options of a {@link Placement}. */
export interface PlacementOptions {
  readonly policy: SchedulingPolicy;
  readonly settings: SchedulerSettings;
  readonly hints: CacheHints;
  readonly isSuspected: (requestDigest: string) => boolean;
}

interface Candidate {
  readonly view: TargetView;
  readonly hint: CachedPrefix | undefined;
  /** Expected delay of the call and the delay that its prompt causes to others, in milliseconds. */
  readonly cost: number;
}

const NO_ROOM: PlacementDecision = { kind: 'no-room' };

/** Chooses a call's target from its pool. */
export class Placement {
  readonly #options: PlacementOptions;

  #lastPosition = 0;

  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  choose(waiting: WaitingCall, candidates: CandidateTargets): PlacementDecision {
    const { targets } = candidates;
    switch (this.#options.policy.kind) {
      case 'round-robin':
        return this.#placeRoundRobin(targets);
      case 'least-loaded':
        return this.#place(waiting, Placement.#findLeastLoaded(targets));
      case 'cache-affinity':
        return this.#placeByLongestPrefix(waiting, targets);
      case 'limpetnotch':
        return this.#placeByLeastCost(waiting, candidates);
    }
  }

  #placeRoundRobin(targets: readonly TargetView[]): PlacementDecision {
    for (let step = 1; step <= targets.length; step += 1) {
      const position = (this.#lastPosition + step) % targets.length;
      const view = targets[position];
      if (view && view.openSlots > 0) {
        this.#lastPosition = position;
        return { kind: 'place', view, hint: undefined };
      }
    }
    return NO_ROOM;
  }

  #placeByLongestPrefix(waiting: WaitingCall, targets: readonly TargetView[]): PlacementDecision {
    const cached = new Map(
      this.#options.hints.lookUp(waiting.call.prefix).map(({ target, tokens }) => [target, tokens]),
    );
    const open = targets.filter(({ openSlots }) => openSlots > 0);
    const longest = Math.max(0, ...open.map(({ name }) => cached.get(name) ?? 0));
    const holders = open.filter(({ name }) => (cached.get(name) ?? 0) === longest);
    return this.#place(waiting, Placement.#findLeastLoaded(holders));
  }

  /** Minimises the expected cost: current load, uncached prompt, availability zone and suspects. */
  #placeByLeastCost(waiting: WaitingCall, candidates: CandidateTargets): PlacementDecision {
    const suspected = this.#options.isSuspected(waiting.call.requestDigest);
    let best = Placement.#findCheapestUncached(waiting, candidates, suspected);
    const cachedCandidates = this.#listCachedCandidates(waiting, candidates, suspected);
    const open = cachedCandidates.filter(({ view }) => view.openSlots > 0);
    for (const candidate of open) {
      if (!best || candidate.cost <= best.cost) best = candidate;
    }
    if (!best) return NO_ROOM;
    const full = cachedCandidates.filter(({ view }) => view.openSlots <= 0);
    if (this.#isWorthWaiting(waiting, best, full)) return { kind: 'hold' };
    return { kind: 'place', view: best.view, hint: best.hint };
  }

  /** Finds the cheapest open target, assuming that none caches the prompt. */
  static #findCheapestUncached(
    { promptTokens }: WaitingCall,
    { targets, positions, scores }: CandidateTargets,
    suspected: boolean,
  ): Candidate | undefined {
    const { openSlots, delayMilliseconds, prefillMillisecondsPerToken } = scores;
    let [best, leastCost] = [-1, Infinity];
    for (let index = 0; index < positions.length; index += 1) {
      const position = positions[index] ?? 0;
      if ((openSlots[position] ?? 0) > 0) {
        const prefill = promptTokens * (prefillMillisecondsPerToken[position] ?? 0);
        const suspectPenalty = suspected
          ? (targets[index]?.suspectCalls ?? 0) * SUSPECT_COST_MILLISECONDS
          : 0;
        const cost = (delayMilliseconds[position] ?? 0) + prefill + suspectPenalty;
        if (cost < leastCost) [best, leastCost] = [index, cost];
      }
    }
    const view = targets[best];
    return view && { view, hint: undefined, cost: leastCost };
  }

  #listCachedCandidates(
    waiting: WaitingCall,
    candidates: CandidateTargets,
    suspected: boolean,
  ): readonly Candidate[] {
    return this.#options.hints.lookUp(waiting.call.prefix).flatMap((hint) => {
      const view = candidates.find(hint.target);
      if (!view) return [];
      const prefill = (waiting.promptTokens - hint.tokens) * view.prefillMillisecondsPerToken;
      return [{ view, hint, cost: Placement.#computeDelay(view, suspected) + prefill }];
    });
  }

  /** A call waits for a full target no longer than the time that its cache saves. */
  #isWorthWaiting(waiting: WaitingCall, best: Candidate, full: readonly Candidate[]): boolean {
    const { maximumHoldMilliseconds } = this.#options.settings;
    const waited = performance.now() - waiting.enqueuedAtMilliseconds;
    return full.some(({ view, cost }) => {
      const saved = best.cost - cost;
      return (
        view.health.state().kind === 'healthy' && waited < Math.min(maximumHoldMilliseconds, saved)
      );
    });
  }

  /** Separates requests that ran during a crash, so that another crash identifies the cause. */
  static #computeDelay(view: TargetView, suspected: boolean): number {
    return view.delayMilliseconds + (suspected ? view.suspectCalls * SUSPECT_COST_MILLISECONDS : 0);
  }

  #place(waiting: WaitingCall, view: TargetView | undefined): PlacementDecision {
    if (!view) return NO_ROOM;
    const hint = this.#options.hints
      .lookUp(waiting.call.prefix)
      .find(({ target }) => target === view.name);
    return { kind: 'place', view, hint };
  }

  static #findLeastLoaded(targets: readonly TargetView[]): TargetView | undefined {
    let least: TargetView | undefined;
    for (const view of targets) {
      if (view.openSlots > 0 && (!least || view.load.calls() < least.load.calls())) least = view;
    }
    return least;
  }
}
