/** One call that a gate holds. */
export interface HeldCall {
  /** Resolves when a matching call has come. */
  readonly reached: Promise<void>;
  /** Lets the call go on; the gate holds no other for it. */
  release(): void;
}

interface Hold<Call> {
  matches(call: Call): boolean;
  reach(): void;
  readonly released: Promise<void>;
}

/** Holds the next call that matches, so that a test can act while it is under way. */
export class Gate<Call> {
  readonly #holds = new Set<Hold<Call>>();

  /** Holds the next call that matches until it is released. */
  hold(matches: (call: Call) => boolean): HeldCall {
    let reach = (): void => undefined;
    let release = (): void => undefined;
    const reached = new Promise<void>((resolve) => {
      reach = resolve;
    });
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    const hold: Hold<Call> = { matches, reach, released };
    this.#holds.add(hold);
    return {
      reached,
      release: () => {
        this.#holds.delete(hold);
        release();
      },
    };
  }

  /** Called by a stand-in for each call; resolves when it may go on. */
  async pass(call: Call): Promise<void> {
    const hold = [...this.#holds].find((candidate) => candidate.matches(call));
    if (hold === undefined) return;
    this.#holds.delete(hold);
    hold.reach();
    await hold.released;
  }
}
