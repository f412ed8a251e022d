/** A hold on the next matching call. */
export interface HeldCall {
  /** Resolves when a matching call arrives. */
  readonly reached: Promise<void>;
  /** Lets the call proceed. Without a call so far, cancels the hold. */
  release(): void;
}

interface Hold<Call> {
  matches(call: Call): boolean;
  markReached(): void;
  readonly released: Promise<void>;
}

/** Holds the next matching call, so that a test can act while the call is in progress. */
export class Gate<Call> {
  readonly #holds = new Set<Hold<Call>>();

  /** Holds the next matching call until it is released. */
  hold(matches: (call: Call) => boolean): HeldCall {
    let reach = (): void => undefined;
    let release = (): void => undefined;
    const reached = new Promise<void>((resolve) => {
      reach = resolve;
    });
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    const hold: Hold<Call> = { matches, markReached: reach, released };
    this.#holds.add(hold);
    return {
      reached,
      release: () => {
        this.#holds.delete(hold);
        release();
      },
    };
  }

  /** Called by a stand-in for each call; resolves when the call may proceed. */
  async pass(call: Call): Promise<void> {
    const hold = [...this.#holds].find((candidate) => candidate.matches(call));
    if (hold === undefined) return;
    this.#holds.delete(hold);
    hold.markReached();
    await hold.released;
  }
}
