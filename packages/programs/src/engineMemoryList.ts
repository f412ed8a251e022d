import type { HeldEngineMemory } from './ledgerSnapshot';
import type { ProgramIdentifier } from './programRecord';

/** Memory that an engine holds for one session of a program. */
export interface EngineMemory {
  readonly program: ProgramIdentifier;
  /** Name of the target; `*` means every engine that the program may have used. */
  readonly target: string;
  readonly sessionId: string;
}

const toKey = ({ sessionId, target }: EngineMemory): string => `${sessionId} ${target}`;

/** Engine memory of all sessions, listed until the engine has freed it. */
export class EngineMemoryList {
  readonly #entries = new Map<string, HeldEngineMemory>();

  /** Adds memory. An entry that exists already is replaced only to mark it as ended. */
  add({ program, target, sessionId }: EngineMemory, ended: boolean): void {
    const entry = { program, target, sessionId, ended };
    const key = toKey(entry);
    if (!this.#entries.has(key) || ended) this.#entries.set(key, entry);
  }

  has(memory: EngineMemory): boolean {
    return this.#entries.has(toKey(memory));
  }

  /** Marks all memory of a session for release. */
  markSessionEnded(sessionId: string): void {
    [...this.#entries].forEach(([key, entry]) => {
      if (entry.sessionId === sessionId) this.#entries.set(key, { ...entry, ended: true });
    });
  }

  remove(memory: EngineMemory): void {
    this.#entries.delete(toKey(memory));
  }

  entries(): readonly HeldEngineMemory[] {
    return [...this.#entries.values()];
  }
}
