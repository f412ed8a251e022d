import type { CachedPrefix, CacheHints } from './cacheHints';
import type { SchedulerSettings } from './schedulerSettings';
import type { SchedulingPolicy } from './schedulingPolicy';
import type { CandidateTargets } from './targetPool';
import type { TargetView } from './targetView';
import type { WaitingCall } from './waitingCall';

const SUSPECT_MILLISECONDS = 60_000;

/** Where a call goes. */
export type PlacementDecision =
  | { readonly kind: 'place'; readonly view: TargetView; readonly hint: CachedPrefix | undefined }
  /** A target that caches the prompt is worth the wait. */
  | { readonly kind: 'hold' }
  /** No target has room. */
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
  /** Expected delay of the call, and what its prompt delays others, in milliseconds. */
  readonly cost: number;
}

const NO_ROOM: PlacementDecision = { kind: 'no-room' };

/** Chooses the target of a call among those of its pool. */
export class Placement {
  readonly #options: PlacementOptions;

  #turn = 0;

  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  choose(waiting: WaitingCall, candidates: CandidateTargets): PlacementDecision {
    const { targets } = candidates;
    switch (this.#options.policy.kind) {
      case 'round-robin':
        return this.#nextInTurn(targets);
      case 'least-loaded':
        return this.#place(waiting, Placement.#leastLoaded(targets));
      case 'cache-affinity':
        return this.#longestPrefix(waiting, targets);
      case 'limpetnotch':
        return this.#leastCost(waiting, candidates);
    }
  }

  #nextInTurn(targets: readonly TargetView[]): PlacementDecision {
    for (let step = 1; step <= targets.length; step += 1) {
      const position = (this.#turn + step) % targets.length;
      const view = targets[position];
      if (view && view.openSlots > 0) {
        this.#turn = position;
        return { kind: 'place', view, hint: undefined };
      }
    }
    return NO_ROOM;
  }

  #longestPrefix(waiting: WaitingCall, targets: readonly TargetView[]): PlacementDecision {
    const cached = new Map(
      this.#options.hints.lookUp(waiting.call.prefix).map(({ target, tokens }) => [target, tokens]),
    );
    const open = targets.filter(({ openSlots }) => openSlots > 0);
    const longest = Math.max(0, ...open.map(({ name }) => cached.get(name) ?? 0));
    const holders = open.filter(({ name }) => (cached.get(name) ?? 0) === longest);
    return this.#place(waiting, Placement.#leastLoaded(holders));
  }

  /** Least expected cost: work that is there, prompt that is not cached, zone, suspects. */
  #leastCost(waiting: WaitingCall, candidates: CandidateTargets): PlacementDecision {
    const suspected = this.#options.isSuspected(waiting.call.requestDigest);
    let best = Placement.#cheapestUncached(waiting, candidates, suspected);
    const holders = this.#holders(waiting, candidates, suspected);
    const open = holders.filter(({ view }) => view.openSlots > 0);
    for (const candidate of open) {
      if (!best || candidate.cost <= best.cost) best = candidate;
    }
    if (!best) return NO_ROOM;
    const full = holders.filter(({ view }) => view.openSlots <= 0);
    if (this.#isWorthWaiting(waiting, best, full)) return { kind: 'hold' };
    return { kind: 'place', view: best.view, hint: best.hint };
  }

  /** Scans all targets as if none cached anything. */
  static #cheapestUncached(
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
        const suspects = suspected ? (targets[index]?.suspects ?? 0) * SUSPECT_MILLISECONDS : 0;
        const cost = (delayMilliseconds[position] ?? 0) + prefill + suspects;
        if (cost < leastCost) [best, leastCost] = [index, cost];
      }
    }
    const view = targets[best];
    return view && { view, hint: undefined, cost: leastCost };
  }

  #holders(
    waiting: WaitingCall,
    candidates: CandidateTargets,
    suspected: boolean,
  ): readonly Candidate[] {
    return this.#options.hints.lookUp(waiting.call.prefix).flatMap((hint) => {
      const view = candidates.find(hint.target);
      if (!view) return [];
      const prefill = (waiting.promptTokens - hint.tokens) * view.prefillMillisecondsPerToken;
      return [{ view, hint, cost: Placement.#delay(view, suspected) + prefill }];
    });
  }

  /** A call waits for a full target no longer than the work that its cache saves. */
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

  /** Requests that were under way at a crash are kept apart, so that the next one tells which. */
  static #delay(view: TargetView, suspected: boolean): number {
    return view.delayMilliseconds + (suspected ? view.suspects * SUSPECT_MILLISECONDS : 0);
  }

  #place(waiting: WaitingCall, view: TargetView | undefined): PlacementDecision {
    if (!view) return NO_ROOM;
    const hint = this.#options.hints
      .lookUp(waiting.call.prefix)
      .find(({ target }) => target === view.name);
    return { kind: 'place', view, hint };
  }

  static #leastLoaded(targets: readonly TargetView[]): TargetView | undefined {
    let least: TargetView | undefined;
    for (const view of targets) {
      if (view.openSlots > 0 && (!least || view.load.calls() < least.load.calls())) least = view;
    }
    return least;
  }
}
