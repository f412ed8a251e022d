import type { HeldEngineMemory } from './ledgerSnapshot';
import type { ProgramIdentifier } from './programRecord';

/** Memory of an engine that belongs to one session of a program. */
export interface EngineMemory {
  readonly program: ProgramIdentifier;
  /** Name of the target; `*` stands for every engine that the program may have used. */
  readonly target: string;
  readonly sessionId: string;
}

const keyOf = ({ sessionId, target }: EngineMemory): string => `${sessionId} ${target}`;

/** Engine memory of all sessions, kept until each engine has freed it. */
export class EngineMemoryList {
  readonly #entries = new Map<string, HeldEngineMemory>();

  /** Adds memory; does nothing where it is listed already. */
  hold({ program, target, sessionId }: EngineMemory, ended: boolean): void {
    const entry = { program, target, sessionId, ended };
    const key = keyOf(entry);
    if (!this.#entries.has(key) || ended) this.#entries.set(key, entry);
  }

  holds(memory: EngineMemory): boolean {
    return this.#entries.has(keyOf(memory));
  }

  /** Marks all memory of a session as to be freed. */
  endSession(sessionId: string): void {
    [...this.#entries].forEach(([key, entry]) => {
      if (entry.sessionId === sessionId) this.#entries.set(key, { ...entry, ended: true });
    });
  }

  free(memory: EngineMemory): void {
    this.#entries.delete(keyOf(memory));
  }

  entries(): readonly HeldEngineMemory[] {
    return [...this.#entries.values()];
  }
}
