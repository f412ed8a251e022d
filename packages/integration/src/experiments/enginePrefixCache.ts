import type { PrefixBlock } from '@limpetnotch/scheduling';

interface CachedBlock {
  readonly tokens: number;
  /** Number of running sequences that use the block. */
  users: number;
}

/** A change of the cache, as an engine publishes it. */
export interface CacheChange {
  readonly change: 'stored' | 'evicted';
  readonly digest: string;
}

/** Prefix cache of one engine, with least-recently-used eviction of the blocks not in use. */
export class EnginePrefixCache {
  readonly #capacityTokens: number;

  /** Blocks by digest, the least recently used first. */
  readonly #blocks = new Map<string, CachedBlock>();

  #usedTokens = 0;

  #tokensInUse = 0;

  #changes: CacheChange[] = [];

  constructor(capacityTokens: number) {
    this.#capacityTokens = capacityTokens;
  }

  /** Returns the number of tokens in the longest cached prefix. */
  cachedTokens(prefix: readonly PrefixBlock[]): number {
    let tokens = 0;
    for (const block of prefix) {
      if (!this.#blocks.has(block.digest)) return tokens;
      tokens += block.tokens;
    }
    return tokens;
  }

  /** Returns whether a sequence's blocks fit in addition to those of the running sequences. */
  fits(prefix: readonly PrefixBlock[]): boolean {
    const added = prefix.filter(({ digest }) => (this.#blocks.get(digest)?.users ?? 0) === 0);
    const needed = added.reduce((sum, { tokens }) => sum + tokens, 0);
    return this.#tokensInUse + needed <= this.#capacityTokens;
  }

  /** Protects a sequence's blocks from eviction while the sequence runs. */
  hold(prefix: readonly PrefixBlock[]): void {
    // Blocks are touched in reverse order, so that the end of a prefix is evicted first.
    [...prefix].reverse().forEach(({ digest, tokens }) => {
      const block = this.#touch(digest, tokens);
      if (block.users === 0) this.#tokensInUse += tokens;
      block.users += 1;
    });
    this.#evictUnused();
  }

  /** Releases a sequence's blocks; they stay cached until their memory is needed. */
  release(prefix: readonly PrefixBlock[]): void {
    prefix.forEach(({ digest, tokens }) => {
      const block = this.#blocks.get(digest);
      if (!block) return;
      block.users -= 1;
      if (block.users === 0) this.#tokensInUse -= tokens;
    });
    this.#evictUnused();
  }

  /** Adds a block that no sequence uses, such as the output of a call. */
  store({ digest, tokens }: PrefixBlock): void {
    this.#touch(digest, tokens);
    this.#evictUnused();
  }

  /** Removes the given blocks, except those in use. */
  free(digests: readonly string[]): void {
    digests.forEach((digest) => {
      this.#evictIfUnused(digest);
    });
  }

  clear(): void {
    this.#blocks.clear();
    this.#usedTokens = 0;
    this.#tokensInUse = 0;
    this.#changes = [];
  }

  /** Returns the changes since the last call. */
  takeChanges(): readonly CacheChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  #touch(digest: string, tokens: number): CachedBlock {
    const cached = this.#blocks.get(digest);
    if (!cached) {
      this.#usedTokens += tokens;
      this.#changes.push({ change: 'stored', digest });
    }
    const block = cached ?? { tokens, users: 0 };
    this.#blocks.delete(digest);
    this.#blocks.set(digest, block);
    return block;
  }

  /** Evicts unused blocks, the least recently used first, until the rest fits. */
  #evictUnused(): void {
    for (const digest of this.#blocks.keys()) {
      if (this.#usedTokens <= this.#capacityTokens) return;
      this.#evictIfUnused(digest);
    }
  }

  #evictIfUnused(digest: string): void {
    const block = this.#blocks.get(digest);
    if (!block || block.users > 0) return;
    this.#blocks.delete(digest);
    this.#usedTokens -= block.tokens;
    this.#changes.push({ change: 'evicted', digest });
  }
}
