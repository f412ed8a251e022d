/** Where the record of a turn lies. */
export interface TurnLocation {
  /** Sequence of the segment. */
  readonly segment: number;
  readonly offset: number;
  /** Bytes of the record. */
  readonly length: number;
}

const keyOf = (organisation: string, id: string): string => `${organisation}\n${id}`;

/** Locations of all turns of a log, in memory. */
export class TurnIndex {
  readonly #locations = new Map<string, TurnLocation>();

  get size(): number {
    return this.#locations.size;
  }

  get(organisation: string, id: string): TurnLocation | undefined {
    return this.#locations.get(keyOf(organisation, id));
  }

  /** Adds a turn; the first location of a turn stays, as a turn never changes. */
  add(organisation: string, id: string, location: TurnLocation): void {
    const key = keyOf(organisation, id);
    if (!this.#locations.has(key)) this.#locations.set(key, location);
  }

  delete(organisation: string, id: string): void {
    this.#locations.delete(keyOf(organisation, id));
  }

  /** Forgets the turns of a segment. */
  deleteSegment(segment: number): void {
    this.#locations.forEach((location, key) => {
      if (location.segment === segment) this.#locations.delete(key);
    });
  }
}
