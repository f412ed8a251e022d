import type { PrefixBlock } from '@limpetnotch/scheduling';

interface CachedBlock {
  readonly digest: string;
  readonly tokens: number;
  /** Sessions that use the block; empty if no request named a session. */
  readonly sessions: Set<string>;
}

/** Digests of the blocks that one operation stored and evicted. */
export interface CacheUpdate {
  readonly stored: readonly string[];
  readonly evicted: readonly string[];
}

/** Prefix cache of limited capacity that evicts the least recently used blocks first. */
export class PrefixCache {
  /** Blocks by digest, the least recently used first. */
  readonly #blocks = new Map<string, CachedBlock>();

  #tokens = 0;

  get tokens(): number {
    return this.#tokens;
  }

  /** Returns the number of tokens in the longest cached prefix of a prompt. */
  cachedTokens(prefix: readonly PrefixBlock[]): number {
    const firstMissing = prefix.findIndex((block) => !this.#blocks.has(block.digest));
    const cached = firstMissing < 0 ? prefix : prefix.slice(0, firstMissing);
    return cached.reduce((sum, block) => sum + block.tokens, 0);
  }

  /** Stores the blocks of a prompt for a session and evicts blocks beyond the capacity. */
  store(
    prefix: readonly PrefixBlock[],
    session: string | undefined,
    capacityTokens: number,
  ): CacheUpdate {
    const stored = prefix.filter((block) => !this.#blocks.has(block.digest));
    // The last block of the chain is touched first, so that a chain is evicted from its end.
    [...prefix].reverse().forEach((block) => this.#touch(block, session));
    const evicted = this.#evict(capacityTokens);
    return { stored: stored.map((block) => block.digest), evicted };
  }

  /** Evicts the blocks that only this session uses; returns their digests. */
  freeSession(session: string): readonly string[] {
    const freed: string[] = [];
    this.#blocks.forEach((block) => {
      if (block.sessions.delete(session) && block.sessions.size === 0) freed.push(block.digest);
    });
    freed.forEach((digest) => this.#remove(digest));
    return freed;
  }

  /** Returns the sessions that use blocks, sorted. */
  sessions(): readonly string[] {
    const sessions = [...this.#blocks.values()].flatMap((block) => [...block.sessions]);
    return [...new Set(sessions)].sort();
  }

  /** Evicts all blocks; returns their digests. */
  clear(): readonly string[] {
    const digests = [...this.#blocks.keys()];
    this.#blocks.clear();
    this.#tokens = 0;
    return digests;
  }

  #touch(block: PrefixBlock, session: string | undefined): void {
    const cached = this.#blocks.get(block.digest) ?? { ...block, sessions: new Set<string>() };
    if (session !== undefined) cached.sessions.add(session);
    if (!this.#blocks.delete(block.digest)) this.#tokens += block.tokens;
    this.#blocks.set(block.digest, cached);
  }

  #evict(capacityTokens: number): readonly string[] {
    const evicted: string[] = [];
    const candidates = this.#blocks.keys();
    while (this.#tokens > capacityTokens) {
      const oldest = candidates.next();
      if (oldest.done) return evicted;
      this.#remove(oldest.value);
      evicted.push(oldest.value);
    }
    return evicted;
  }

  #remove(digest: string): void {
    this.#tokens -= this.#blocks.get(digest)?.tokens ?? 0;
    this.#blocks.delete(digest);
  }
}
