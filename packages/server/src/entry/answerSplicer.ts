import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';

/** What is left to relay of a chunk, or that the new answer differs from what was relayed. */
export type SplicedChunk =
  { readonly kind: 'relay'; readonly bytes: Uint8Array } | { readonly kind: 'mismatch' };

/**
 * Joins an answer that a second owner gives again to the part that was relayed before: the same
 * bytes are skipped, and an answer with other bytes is told apart by its digest.
 */
export class AnswerSplicer {
  #relayedBytes = 0;

  #relayedHash: Hash = createHash('sha256');

  #skipBytes = 0;

  #skippedHash: Hash = createHash('sha256');

  /** Bytes that were relayed to the caller. */
  get relayedBytes(): number {
    return this.#relayedBytes;
  }

  /** Starts over: the next chunk is the first of an answer that is given again. */
  restart(): void {
    this.#skipBytes = this.#relayedBytes;
    this.#skippedHash = createHash('sha256');
  }

  /** Takes the next chunk of the answer. */
  accept(chunk: Uint8Array): SplicedChunk {
    const skipped = chunk.subarray(0, this.#skipBytes);
    const rest = chunk.subarray(skipped.length);
    if (!this.#skip(skipped)) return { kind: 'mismatch' };
    this.#relayedBytes += rest.length;
    this.#relayedHash.update(rest);
    return { kind: 'relay', bytes: rest };
  }

  /** Whether the answer that was given again covers all that was relayed. */
  get isCaughtUp(): boolean {
    return this.#skipBytes === 0;
  }

  #skip(bytes: Uint8Array): boolean {
    if (bytes.length === 0) return true;
    this.#skippedHash.update(bytes);
    this.#skipBytes -= bytes.length;
    if (this.#skipBytes > 0) return true;
    const relayed = this.#relayedHash.copy().digest('hex');
    return relayed === this.#skippedHash.digest('hex');
  }
}
