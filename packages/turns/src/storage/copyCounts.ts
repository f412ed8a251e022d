import type { TurnKey } from '@limpetnotch/peer-protocol';

interface CountedTurn {
  readonly key: TurnKey;
  /** An instance that has the turn. */
  readonly address: string;
  copies: number;
}

/** Counts how many instances have each turn. */
export class CopyCounts {
  readonly #turns = new Map<string, CountedTurn>();

  /** Adds turns that an instance listed. */
  add(address: string, keys: readonly TurnKey[]): void {
    keys.forEach((key) => {
      const text = JSON.stringify([key.organisation, key.id]);
      const counted = this.#turns.get(text);
      if (!counted) this.#turns.set(text, { key, address, copies: 1 });
      else if (counted.address !== address) counted.copies += 1;
    });
  }

  /** Returns the turns with fewer copies, by the address of an instance that has them. */
  listFewerThan(copies: number): ReadonlyMap<string, readonly TurnKey[]> {
    const found = new Map<string, TurnKey[]>();
    this.#turns.forEach((counted) => {
      if (counted.copies >= copies) return;
      const keys = found.get(counted.address) ?? [];
      keys.push(counted.key);
      found.set(counted.address, keys);
    });
    return found;
  }
}
