import type { PrefixBlock } from './scheduledCall';
import type { CacheEvent } from './scheduler';

/** Initial confidence in hints that predate a lost event, before any response has updated it. */
const INITIAL_STALE_CONFIDENCE = 0.5;
const CONFIDENCE_SAMPLE_WEIGHT = 0.02;

/** Share of a target's blocks that is evicted at once when the limit is exceeded. */
const EVICTED_SHARE = 0.125;

/** Maximum targets per lookup; a block cached by more targets hardly distinguishes them. */
const MAXIMUM_LOOKUP_TARGETS = 8;

/** Highest first sequence number of a restarted target. */
const MAXIMUM_INITIAL_SEQUENCE = 1;

/** Estimated contents of one target's prefix cache. */
interface TargetCache {
  /** Block digests, oldest first, each with the gap count at the time of recording. */
  readonly blocks: Map<string, number>;
  lastSequence: number | undefined;
  /** Gaps detected in the event sequence. */
  gaps: number;
}

/** Prompt tokens that a target probably caches. */
export interface CachedPrefix {
  readonly target: string;
  /** Expected cached tokens, scaled by the confidence in the hint. */
  readonly tokens: number;
  /** Tokens of the recorded prefix. */
  readonly recordedTokens: number;
  /** Whether cache events were lost since the hint was recorded. */
  readonly isStale: boolean;
}

/**
 * Blocks that targets probably cache, derived from sent prompts and cache events. A gap in a
 * target's events marks its earlier hints as stale. The confidence in stale hints starts at one
 * half and is then adjusted by the cached tokens that responses report.
 */
export class CacheHints {
  readonly #maximumBlocksPerTarget: number;

  readonly #caches = new Map<string, TargetCache>();

  readonly #targetsByDigest = new Map<string, Set<string>>();

  #staleConfidence = INITIAL_STALE_CONFIDENCE;

  constructor(maximumBlocksPerTarget: number) {
    this.#maximumBlocksPerTarget = maximumBlocksPerTarget;
  }

  /**
   * Records a prompt that was sent to a target. Only two blocks are kept: the first, which other
   * programs share, and the last, whose digest covers all earlier blocks and which the program's
   * next prompt contains.
   */
  recordPrompt(target: string, prefix: readonly PrefixBlock[]): void {
    const cache = this.#getOrCreateCache(target);
    const [first, last] = [prefix[0], prefix[prefix.length - 1]];
    if (first) this.#addBlock(target, cache, first.digest);
    if (last) this.#addBlock(target, cache, last.digest);
    if (cache.blocks.size > this.#maximumBlocksPerTarget) this.#evictOldest(target, cache);
  }

  /** Applies a cache event; a gap in the sequence marks earlier hints as stale. */
  applyEvent({ target, sequence, change, digests }: CacheEvent): void {
    const last = this.#getOrCreateCache(target).lastSequence;
    const restarted = last !== undefined && sequence < last && sequence <= MAXIMUM_INITIAL_SEQUENCE;
    if (restarted) this.removeTarget(target);
    const cache = this.#getOrCreateCache(target);
    const expected = cache.lastSequence === undefined ? sequence : cache.lastSequence + 1;
    if (sequence < expected) return;
    if (sequence > expected) cache.gaps += 1;
    cache.lastSequence = sequence;
    digests.forEach((digest) => {
      if (change === 'stored') this.#addBlock(target, cache, digest);
      else this.#removeBlock(target, cache, digest);
    });
    if (cache.blocks.size > this.#maximumBlocksPerTarget) this.#evictOldest(target, cache);
  }

  /** Adjusts the confidence in stale hints by the cached tokens that a response reported. */
  updateStaleConfidence({ isStale, recordedTokens }: CachedPrefix, cachedTokens: number): void {
    if (!isStale || recordedTokens === 0) return;
    const cachedShare = Math.min(1, cachedTokens / recordedTokens);
    this.#staleConfidence += CONFIDENCE_SAMPLE_WEIGHT * (cachedShare - this.#staleConfidence);
  }

  /** Removes all hints of a target, for example after its restart. */
  removeTarget(target: string): void {
    const cache = this.#caches.get(target);
    if (!cache) return;
    [...cache.blocks.keys()].forEach((digest) => {
      this.#removeBlock(target, cache, digest);
    });
    this.#caches.delete(target);
  }

  /** Returns the targets that probably cache part of the prompt, with the expected tokens. */
  lookUp(prefix: readonly PrefixBlock[]): readonly CachedPrefix[] {
    const found = new Map<string, CachedPrefix>();
    let tokens = prefix.reduce((sum, block) => sum + block.tokens, 0);
    for (let index = prefix.length - 1; index >= 0; index -= 1) {
      const block = prefix[index];
      if (!block || found.size >= MAXIMUM_LOOKUP_TARGETS) break;
      this.#collect(block.digest, tokens, found);
      tokens -= block.tokens;
    }
    return [...found.values()];
  }

  #collect(digest: string, tokens: number, found: Map<string, CachedPrefix>): void {
    for (const target of this.#targetsByDigest.get(digest) ?? []) {
      if (found.size >= MAXIMUM_LOOKUP_TARGETS) return;
      const cache = this.#caches.get(target);
      const gapsSince = (cache?.gaps ?? 0) - (cache?.blocks.get(digest) ?? 0);
      const isStale = gapsSince > 0;
      const expected = tokens * (isStale ? this.#staleConfidence : 1);
      if (expected > (found.get(target)?.tokens ?? 0)) {
        found.set(target, { target, tokens: expected, recordedTokens: tokens, isStale });
      }
    }
  }

  #addBlock(target: string, cache: TargetCache, digest: string): void {
    cache.blocks.set(digest, cache.gaps);
    const targets = this.#targetsByDigest.get(digest);
    if (targets) targets.add(target);
    else this.#targetsByDigest.set(digest, new Set([target]));
  }

  /** Evicts a batch of a target's oldest blocks. */
  #evictOldest(target: string, cache: TargetCache): void {
    const remainingBlocks = this.#maximumBlocksPerTarget * (1 - EVICTED_SHARE);
    for (const digest of cache.blocks.keys()) {
      if (cache.blocks.size <= remainingBlocks) return;
      this.#removeBlock(target, cache, digest);
    }
  }

  #removeBlock(target: string, cache: TargetCache, digest: string): void {
    cache.blocks.delete(digest);
    const targets = this.#targetsByDigest.get(digest);
    targets?.delete(target);
    if (targets?.size === 0) this.#targetsByDigest.delete(digest);
  }

  #getOrCreateCache(target: string): TargetCache {
    const existing = this.#caches.get(target);
    if (existing) return existing;
    const cache = { blocks: new Map<string, number>(), lastSequence: undefined, gaps: 0 };
    this.#caches.set(target, cache);
    return cache;
  }
}
