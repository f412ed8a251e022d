import type { PrefixBlock } from '@limpetnotch/scheduling';

interface CachedBlock {
  readonly tokens: number;
  /** Sequences that use the block now. */
  users: number;
}

/** A change of the cache, as the engine would publish it. */
export interface CacheChange {
  readonly change: 'stored' | 'evicted';
  readonly digest: string;
}

/** Prefix cache of one engine: blocks in limited memory, the longest unused evicted first. */
export class EnginePrefixCache {
  readonly #capacityTokens: number;

  /** Blocks, the longest unused first. */
  readonly #blocks = new Map<string, CachedBlock>();

  #usedTokens = 0;

  #heldTokens = 0;

  #changes: CacheChange[] = [];

  constructor(capacityTokens: number) {
    this.#capacityTokens = capacityTokens;
  }

  /** Returns the tokens of the longest cached prefix. */
  cachedTokens(prefix: readonly PrefixBlock[]): number {
    let tokens = 0;
    for (const block of prefix) {
      if (!this.#blocks.has(block.digest)) return tokens;
      tokens += block.tokens;
    }
    return tokens;
  }

  /** Whether a sequence's blocks fit beside those of the sequences that run. */
  fits(prefix: readonly PrefixBlock[]): boolean {
    const added = prefix.filter(({ digest }) => (this.#blocks.get(digest)?.users ?? 0) === 0);
    const needed = added.reduce((sum, { tokens }) => sum + tokens, 0);
    return this.#heldTokens + needed <= this.#capacityTokens;
  }

  /** Keeps a sequence's blocks while it runs. */
  hold(prefix: readonly PrefixBlock[]): void {
    // A block is touched after those that follow it, so that the end of a prefix goes first.
    [...prefix].reverse().forEach(({ digest, tokens }) => {
      const block = this.#touch(digest, tokens);
      if (block.users === 0) this.#heldTokens += tokens;
      block.users += 1;
    });
    this.#evictUnused();
  }

  /** Ends the use of a sequence's blocks; they stay cached while there is memory. */
  release(prefix: readonly PrefixBlock[]): void {
    prefix.forEach(({ digest, tokens }) => {
      const block = this.#blocks.get(digest);
      if (!block) return;
      block.users -= 1;
      if (block.users === 0) this.#heldTokens -= tokens;
    });
    this.#evictUnused();
  }

  /** Adds a block that nobody uses, such as an answer. */
  store({ digest, tokens }: PrefixBlock): void {
    this.#touch(digest, tokens);
    this.#evictUnused();
  }

  /** Drops blocks that nobody uses. */
  free(digests: readonly string[]): void {
    digests.forEach((digest) => {
      this.#drop(digest);
    });
  }

  clear(): void {
    this.#blocks.clear();
    this.#usedTokens = 0;
    this.#heldTokens = 0;
    this.#changes = [];
  }

  /** Returns the changes since the last call. */
  takeChanges(): readonly CacheChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  #touch(digest: string, tokens: number): CachedBlock {
    const known = this.#blocks.get(digest);
    if (!known) {
      this.#usedTokens += tokens;
      this.#changes.push({ change: 'stored', digest });
    }
    const block = known ?? { tokens, users: 0 };
    this.#blocks.delete(digest);
    this.#blocks.set(digest, block);
    return block;
  }

  /** Evicts unused blocks, the longest unused first, until the rest fits. */
  #evictUnused(): void {
    for (const digest of this.#blocks.keys()) {
      if (this.#usedTokens <= this.#capacityTokens) return;
      this.#drop(digest);
    }
  }

  #drop(digest: string): void {
    const block = this.#blocks.get(digest);
    if (!block || block.users > 0) return;
    this.#blocks.delete(digest);
    this.#usedTokens -= block.tokens;
    this.#changes.push({ change: 'evicted', digest });
  }
}
