/** Location of the record of a turn. */
export interface TurnLocation {
  /** Sequence of the segment. */
  readonly segment: number;
  readonly offset: number;
  /** Bytes of the record. */
  readonly length: number;
}

const toKey = (organisation: string, id: string): string => `${organisation}\n${id}`;

/** In-memory index of the locations of all turns of a log. */
export class TurnIndex {
  readonly #locations = new Map<string, TurnLocation>();

  get size(): number {
    return this.#locations.size;
  }

  get(organisation: string, id: string): TurnLocation | undefined {
    return this.#locations.get(toKey(organisation, id));
  }

  /** Adds a turn; an existing location is kept, since a turn never changes. */
  add(organisation: string, id: string, location: TurnLocation): void {
    const key = toKey(organisation, id);
    if (!this.#locations.has(key)) this.#locations.set(key, location);
  }

  delete(organisation: string, id: string): void {
    this.#locations.delete(toKey(organisation, id));
  }

  /** Removes the turns of a segment. */
  deleteSegment(segment: number): void {
    this.#locations.forEach((location, key) => {
      if (location.segment === segment) this.#locations.delete(key);
    });
  }
}
