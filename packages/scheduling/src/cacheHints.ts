import type { PrefixBlock } from './scheduledCall';
import type { CacheEvent } from './scheduler';

/** Trust in a hint that is older than a lost event, before any answer told better. */
const FIRST_STALE_TRUST = 0.5;
const TRUST_WEIGHT = 0.02;

/** Share of a target's blocks that is forgotten when there are too many. */
const FORGOTTEN_SHARE = 0.125;

/** Targets that a look-up returns at the most; a block that more of them cache tells none apart. */
const MAXIMUM_FOUND_TARGETS = 8;

/** Highest sequence with which a target that was started again may begin. */
const FIRST_SEQUENCE = 1;

/** What is believed of one target's prefix cache. */
interface TargetCache {
  /** Blocks, the first noted first, each with the number of gaps when it was noted. */
  readonly blocks: Map<string, number>;
  lastSequence: number | undefined;
  /** Gaps seen in the sequence of events. */
  gaps: number;
}

/** Prompt tokens that a target probably has in its cache. */
export interface CachedPrefix {
  readonly target: string;
  /** Tokens expected to be cached, after the trust in the hint. */
  readonly tokens: number;
  /** Tokens of the prefix that was noted. */
  readonly notedTokens: number;
  /** Whether events were lost since the hint was noted. */
  readonly isStale: boolean;
}

/**
 * Blocks that targets probably cache, from what was sent there and from their cache events. All
 * are hints: a gap in a target's events makes what was noted before it stale. Stale hints are first
 * trusted by half, then by what the answers say of them.
 */
export class CacheHints {
  readonly #maximumBlocksPerTarget: number;

  readonly #caches = new Map<string, TargetCache>();

  readonly #holders = new Map<string, Set<string>>();

  #staleTrust = FIRST_STALE_TRUST;

  constructor(maximumBlocksPerTarget: number) {
    this.#maximumBlocksPerTarget = maximumBlocksPerTarget;
  }

  /**
   * Notes a prompt that was sent to a target by its first block, which other programs share, and
   * its last one, which contains all before it and which the program's next prompt contains.
   */
  noteSent(target: string, prefix: readonly PrefixBlock[]): void {
    const cache = this.#cache(target);
    const [first, last] = [prefix[0], prefix[prefix.length - 1]];
    if (first) this.#note(target, cache, first.digest);
    if (last) this.#note(target, cache, last.digest);
    if (cache.blocks.size > this.#maximumBlocksPerTarget) this.#forgetOldest(target, cache);
  }

  /** Takes a cache event in; a gap in the sequence makes the older view less trusted. */
  takeEvent({ target, sequence, change, digests }: CacheEvent): void {
    const last = this.#cache(target).lastSequence;
    const restarted = last !== undefined && sequence < last && sequence <= FIRST_SEQUENCE;
    if (restarted) this.forgetTarget(target);
    const cache = this.#cache(target);
    const expected = cache.lastSequence === undefined ? sequence : cache.lastSequence + 1;
    if (sequence < expected) return;
    if (sequence > expected) cache.gaps += 1;
    cache.lastSequence = sequence;
    digests.forEach((digest) => {
      if (change === 'stored') this.#note(target, cache, digest);
      else this.#drop(target, cache, digest);
    });
    if (cache.blocks.size > this.#maximumBlocksPerTarget) this.#forgetOldest(target, cache);
  }

  /** Learns from an answer what stale hints are worth. */
  learn({ isStale, notedTokens }: CachedPrefix, cachedTokens: number): void {
    if (!isStale || notedTokens === 0) return;
    const found = Math.min(1, cachedTokens / notedTokens);
    this.#staleTrust += TRUST_WEIGHT * (found - this.#staleTrust);
  }

  /** Forgets a target's blocks, as after its restart. */
  forgetTarget(target: string): void {
    const cache = this.#caches.get(target);
    if (!cache) return;
    [...cache.blocks.keys()].forEach((digest) => {
      this.#drop(target, cache, digest);
    });
    this.#caches.delete(target);
  }

  /** Returns the targets that probably cache a part of the prompt, with the tokens expected. */
  lookUp(prefix: readonly PrefixBlock[]): readonly CachedPrefix[] {
    const found = new Map<string, CachedPrefix>();
    let tokens = prefix.reduce((sum, block) => sum + block.tokens, 0);
    for (let index = prefix.length - 1; index >= 0; index -= 1) {
      const block = prefix[index];
      if (!block || found.size >= MAXIMUM_FOUND_TARGETS) break;
      this.#collect(block.digest, tokens, found);
      tokens -= block.tokens;
    }
    return [...found.values()];
  }

  #collect(digest: string, tokens: number, found: Map<string, CachedPrefix>): void {
    for (const target of this.#holders.get(digest) ?? []) {
      if (found.size >= MAXIMUM_FOUND_TARGETS) return;
      const cache = this.#caches.get(target);
      const gapsSince = (cache?.gaps ?? 0) - (cache?.blocks.get(digest) ?? 0);
      const isStale = gapsSince > 0;
      const expected = tokens * (isStale ? this.#staleTrust : 1);
      if (expected > (found.get(target)?.tokens ?? 0)) {
        found.set(target, { target, tokens: expected, notedTokens: tokens, isStale });
      }
    }
  }

  #note(target: string, cache: TargetCache, digest: string): void {
    cache.blocks.set(digest, cache.gaps);
    const holders = this.#holders.get(digest);
    if (holders) holders.add(target);
    else this.#holders.set(digest, new Set([target]));
  }

  /** Forgets a part of a target's blocks at once, those that were noted first. */
  #forgetOldest(target: string, cache: TargetCache): void {
    const left = this.#maximumBlocksPerTarget * (1 - FORGOTTEN_SHARE);
    for (const digest of cache.blocks.keys()) {
      if (cache.blocks.size <= left) return;
      this.#drop(target, cache, digest);
    }
  }

  #drop(target: string, cache: TargetCache, digest: string): void {
    cache.blocks.delete(digest);
    const holders = this.#holders.get(digest);
    holders?.delete(target);
    if (holders?.size === 0) this.#holders.delete(digest);
  }

  #cache(target: string): TargetCache {
    const known = this.#caches.get(target);
    if (known) return known;
    const cache = { blocks: new Map<string, number>(), lastSequence: undefined, gaps: 0 };
    this.#caches.set(target, cache);
    return cache;
  }
}
