import type { StoreEntry } from '@limpetnotch/store';
import type { StoreChange } from '../storeChange';

/** Changes kept for followers that come from another reader; those of some minutes. */
const MAXIMUM_CHANGES = 1_000;

/** Total size of their values, as a configuration may have 1 MB. */
const MAXIMUM_CHANGE_CHARACTERS = 2 * 1024 * 1024;

/** Position of a follower in the changes of a view. */
export type ViewCursor =
  | { readonly kind: 'revision'; readonly revision: number }
  | { readonly kind: 'sequence'; readonly epoch: number; readonly sequence: number };

/** What a follower lacks. */
export interface MissingChanges {
  /** Whether the changes are all entries, instead of those since the cursor. */
  readonly isComplete: boolean;
  readonly changes: readonly StoreChange[];
}

const sizeOf = ({ key, value }: StoreChange): number => key.length + (value?.length ?? 0);

/**
 * The entries under a prefix, merged from several sources. Each source reports changes in the order
 * of their revisions and without gaps from a revision that the view had confirmed when the source
 * began, so that a change counts if it is newer than what is known of its key.
 */
export class PrefixView {
  readonly #entries = new Map<string, StoreEntry>();

  /** Revisions at which keys were removed, of removals that are not confirmed yet. */
  readonly #removals = new Map<string, number>();

  #changes: StoreChange[] = [];

  #changeCharacters = 0;

  /** Number of changes dropped from the front of those that are kept. */
  #dropped = 0;

  /** The changes that are kept are complete from this revision on. */
  #baseRevision = 0;

  #epoch = 0;

  #revision = 0;

  /** Revision up to which all changes are known; 0 before the first list. */
  get revision(): number {
    return this.#revision;
  }

  get entries(): readonly StoreEntry[] {
    return [...this.#entries.values()];
  }

  /** Applies a change; returns whether it is news. */
  apply(change: StoreChange): boolean {
    const { key, value, revision } = change;
    if (revision !== 0 && revision <= Math.max(this.#revision, this.#knownRevisionOf(key))) {
      return false;
    }
    if (value === undefined) {
      this.#entries.delete(key);
      this.#removals.set(key, revision);
    } else {
      this.#removals.delete(key);
      this.#entries.set(key, { key, value, revision });
    }
    this.#keep(change);
    return true;
  }

  /** Applies a full list; returns false, and ignores it, if it is older than what is known. */
  replace(entries: readonly StoreEntry[], revision: number): boolean {
    if (revision < this.#revision) return false;
    const newer = this.#changes.filter((change) => change.revision > revision);
    this.#entries.clear();
    entries.forEach((entry) => this.#entries.set(entry.key, entry));
    this.#restart(revision);
    newer.forEach((change) => this.apply(change));
    return true;
  }

  /** Forgets everything, before a list of a store that has lost its history. */
  reset(): void {
    this.#entries.clear();
    this.#restart(0);
  }

  /** Records that all changes up to a revision have been applied. */
  confirm(revision: number): void {
    if (revision <= this.#revision) return;
    this.#revision = revision;
    this.#removals.forEach((removedAt, key) => {
      if (removedAt <= revision) this.#removals.delete(key);
    });
  }

  /** Position after all changes that are known now. */
  get cursor(): ViewCursor {
    return {
      kind: 'sequence',
      epoch: this.#epoch,
      sequence: this.#dropped + this.#changes.length,
    };
  }

  /** Returns what is missing at a position. */
  changesSince(cursor: ViewCursor): MissingChanges {
    const changes = this.#findChangesSince(cursor);
    return changes ? { isComplete: false, changes } : { isComplete: true, changes: this.entries };
  }

  #findChangesSince(cursor: ViewCursor): readonly StoreChange[] | undefined {
    switch (cursor.kind) {
      case 'revision': {
        const { revision } = cursor;
        if (revision === 0 || revision < this.#baseRevision) return undefined;
        return this.#changes.filter(
          (change) => change.revision > revision || change.revision === 0,
        );
      }
      case 'sequence':
        if (cursor.epoch !== this.#epoch || cursor.sequence < this.#dropped) return undefined;
        return this.#changes.slice(cursor.sequence - this.#dropped);
    }
  }

  #knownRevisionOf(key: string): number {
    return this.#entries.get(key)?.revision ?? this.#removals.get(key) ?? 0;
  }

  #restart(revision: number): void {
    this.#removals.clear();
    this.#changes = [];
    this.#changeCharacters = 0;
    this.#dropped = 0;
    this.#baseRevision = revision;
    this.#revision = revision;
    this.#epoch += 1;
  }

  #keep(change: StoreChange): void {
    this.#changes.push(change);
    this.#changeCharacters += sizeOf(change);
    while (
      this.#changes.length > MAXIMUM_CHANGES ||
      this.#changeCharacters > MAXIMUM_CHANGE_CHARACTERS
    ) {
      const oldest = this.#changes.shift();
      if (!oldest) return;
      this.#dropped += 1;
      this.#changeCharacters -= sizeOf(oldest);
      this.#baseRevision = Math.max(this.#baseRevision, oldest.revision);
    }
  }
}
