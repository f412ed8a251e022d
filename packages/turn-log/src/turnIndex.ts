import type { Turn } from '@limpetnotch/peer-protocol';

/** Location of the record of a turn. */
export interface TurnLocation {
  /** Sequence of the segment. */
  readonly segment: number;
  readonly offset: number;
  /** Bytes of the record. */
  readonly length: number;
}

/** What the index knows of a turn without reading its record. */
export interface IndexedTurn {
  readonly organisation: string;
  readonly id: string;
  readonly program: string;
  readonly parentId: string;
  readonly location: TurnLocation;
  /** Position in the order of additions, by which pages of turns are listed. */
  readonly ordinal: number;
}

/** Options of a {@link TurnIndex}. */
export interface TurnIndexOptions {
  /** Called when a segment has a turn with this lifetime. */
  readonly onLifetime: (segment: number, expiresAtMilliseconds: number) => void;
}

/** Any text may be an organisation or an id, so the key has the length of its first part. */
const toKey = (organisation: string, id: string): string =>
  `${organisation.length}:${organisation}${id}`;

/**
 * In-memory index of all turns of a log. A turn lives as long as its youngest descendant, also if that
 * was added before it.
 */
export class TurnIndex {
  readonly #options: TurnIndexOptions;

  readonly #turns = new Map<string, IndexedTurn>();

  /** Lifetime of each turn, including turns that are not here but have descendants here. */
  readonly #lifetimes = new Map<string, number>();

  /** Parents that are not here, by key, with their organisation and id. */
  readonly #missingParents = new Map<string, readonly [organisation: string, id: string]>();

  #nextOrdinal = 1;

  constructor(options: TurnIndexOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#turns.size;
  }

  get(organisation: string, id: string): IndexedTurn | undefined {
    return this.#turns.get(toKey(organisation, id));
  }

  /** Returns when a turn expires, extended by its descendants; `-Infinity` if it is unknown. */
  getLifetime(organisation: string, id: string): number {
    return this.#lifetimes.get(toKey(organisation, id)) ?? -Infinity;
  }

  /** Parents that turns here continue but that are not here themselves. */
  get missingParents(): readonly (readonly [organisation: string, id: string])[] {
    return [...this.#missingParents.values()];
  }

  /** Stops reporting a missing parent, since no instance has it. */
  forgetMissingParent(organisation: string, id: string): void {
    this.#missingParents.delete(toKey(organisation, id));
  }

  /** Adds a turn; an existing location is kept, since a turn never changes. */
  add(turn: Turn, location: TurnLocation): void {
    const { organisation, id, program, parentId } = turn;
    const key = toKey(organisation, id);
    this.#missingParents.delete(key);
    if (!this.#turns.has(key)) {
      const ordinal = this.#nextOrdinal;
      this.#nextOrdinal += 1;
      this.#turns.set(key, { organisation, id, program, parentId, location, ordinal });
      if (parentId !== '' && !this.get(organisation, parentId)) {
        this.#missingParents.set(toKey(organisation, parentId), [organisation, parentId]);
      }
    }
    const lifetime = Math.max(turn.expiresAtMilliseconds, this.getLifetime(organisation, id));
    this.#lifetimes.delete(key);
    this.extend(organisation, id, lifetime);
  }

  /** Extends the lifetime of a turn and its ancestors. */
  extend(organisation: string, id: string, expiresAtMilliseconds: number): void {
    let current = id;
    // Ends at an ancestor with this lifetime, hence also where turns name each other in a circle.
    while (current !== '' && this.getLifetime(organisation, current) < expiresAtMilliseconds) {
      this.#lifetimes.set(toKey(organisation, current), expiresAtMilliseconds);
      const turn = this.get(organisation, current);
      if (!turn) return;
      this.#options.onLifetime(turn.location.segment, expiresAtMilliseconds);
      current = turn.parentId;
    }
  }

  /** Returns turns in the order of their addition, after an ordinal. */
  *listAfter(ordinal: number): Generator<IndexedTurn> {
    for (const turn of this.#turns.values()) if (turn.ordinal > ordinal) yield turn;
  }

  /** Removes a turn whose record is damaged. */
  delete(organisation: string, id: string): void {
    this.#turns.delete(toKey(organisation, id));
  }

  /** Removes the turns of a segment. */
  deleteSegment(segment: number): void {
    this.#turns.forEach(({ location }, key) => {
      if (location.segment === segment) this.#turns.delete(key);
    });
  }

  /** Removes lifetimes that ended before a time, of turns that are not here. */
  deleteLifetimes(endedBeforeMilliseconds: number): void {
    this.#lifetimes.forEach((expiresAt, key) => {
      if (expiresAt >= endedBeforeMilliseconds || this.#turns.has(key)) return;
      this.#lifetimes.delete(key);
      this.#missingParents.delete(key);
    });
  }
}
