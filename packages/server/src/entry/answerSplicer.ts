import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';

/** The part of a chunk still to be relayed, or a mismatch with the bytes already relayed. */
export type SplicedChunk =
  { readonly kind: 'relay'; readonly bytes: Uint8Array } | { readonly kind: 'mismatch' };

/**
 * Joins an answer that another owner sends again to the part that was already relayed. Bytes that
 * were relayed before are skipped; their digest detects an answer with different bytes.
 */
export class AnswerSplicer {
  #relayedBytes = 0;

  #relayedHash: Hash = createHash('sha256');

  #bytesToSkip = 0;

  #skippedHash: Hash = createHash('sha256');

  /** Number of bytes relayed to the caller. */
  get relayedBytes(): number {
    return this.#relayedBytes;
  }

  /** Prepares for a repeated answer: the next chunk is its first. */
  restart(): void {
    this.#bytesToSkip = this.#relayedBytes;
    this.#skippedHash = createHash('sha256');
  }

  /** Accepts the next chunk of the answer. */
  accept(chunk: Uint8Array): SplicedChunk {
    const skipped = chunk.subarray(0, this.#bytesToSkip);
    const rest = chunk.subarray(skipped.length);
    if (!this.#skipRelayed(skipped)) return { kind: 'mismatch' };
    this.#relayedBytes += rest.length;
    this.#relayedHash.update(rest);
    return { kind: 'relay', bytes: rest };
  }

  /** Whether the repeated answer has covered all bytes relayed before. */
  get isCaughtUp(): boolean {
    return this.#bytesToSkip === 0;
  }

  #skipRelayed(bytes: Uint8Array): boolean {
    if (bytes.length === 0) return true;
    this.#skippedHash.update(bytes);
    this.#bytesToSkip -= bytes.length;
    if (this.#bytesToSkip > 0) return true;
    const relayed = this.#relayedHash.copy().digest('hex');
    return relayed === this.#skippedHash.digest('hex');
  }
}
