import type { Turn } from '@limpetnotch/peer-protocol';

/** Approximate memory of a cached turn beside its input and output. */
const OVERHEAD_BYTES = 400;

const toKey = (organisation: string, id: string): string => `${organisation}\n${id}`;

const sizeOf = ({ input, output }: Turn): number => input.length + output.length + OVERHEAD_BYTES;

/** Turns that this instance stored or read recently, bounded by their size. */
export class ChainCache {
  readonly #maximumBytes: number;

  /** Least recently used turn first. */
  readonly #turns = new Map<string, Turn>();

  #bytes = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Size of the cached turns. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Returns a turn; undefined if it is not cached or has expired. */
  get(organisation: string, id: string): Turn | undefined {
    const key = toKey(organisation, id);
    const turn = this.#turns.get(key);
    if (!turn) return undefined;
    this.#turns.delete(key);
    if (turn.expiresAtMilliseconds < Date.now()) {
      this.#bytes -= sizeOf(turn);
      return undefined;
    }
    this.#turns.set(key, turn);
    return turn;
  }

  /** Adds a turn; evicts the least recently used ones beyond the limit. */
  add(turn: Turn): void {
    const key = toKey(turn.organisation, turn.id);
    if (this.#turns.has(key)) return;
    this.#turns.set(key, turn);
    this.#bytes += sizeOf(turn);
    for (const [oldestKey, oldest] of this.#turns) {
      if (this.#bytes <= this.#maximumBytes) return;
      this.#turns.delete(oldestKey);
      this.#bytes -= sizeOf(oldest);
    }
  }
}
