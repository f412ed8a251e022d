import type { CallUnderWay, HistoryEntry, ProgramEnd, ProgramSnapshot } from './ledgerSnapshot';
import type { CallOutcome, Executed, ProgramIdentifier } from './programRecord';

/**
 * Returns whether an outcome is final for its idempotency key. The key may run again if the call
 * did not run, or if the call is idempotent and its outcome is unknown.
 */
const settlesKey = (outcome: CallOutcome, idempotent: boolean): boolean => {
  if (outcome.kind === 'answered') return true;
  if (outcome.executed === 'no') return false;
  return outcome.executed === 'yes' || !idempotent;
};

/** Options of a {@link Program}. */
export interface ProgramOptions {
  readonly program: ProgramIdentifier;
  /** Identifies the program's session at engines. */
  readonly sessionId: string;
  readonly startedAtMilliseconds: number;
}

/** One program path: its history, the call in progress and its end. */
export class Program {
  readonly program: ProgramIdentifier;

  readonly startedAtMilliseconds: number;

  /** Identifies the program's session at engines. */
  readonly sessionId: string;

  readonly #history: HistoryEntry[] = [];

  readonly #settledByKey = new Map<string, HistoryEntry>();

  /** Request digests by idempotency key, for calls that ran or may have run. */
  readonly #digestByRunKey = new Map<string, string>();

  readonly #finishedCallIds = new Set<string>();

  /**
   * Attempts of the call in progress, the latest last; earlier ones were lost with their owners.
   */
  readonly #attempts: CallUnderWay[] = [];

  #end: ProgramEnd | undefined;

  #lastActivityMilliseconds: number;

  constructor({ program, sessionId, startedAtMilliseconds }: ProgramOptions) {
    this.program = program;
    this.sessionId = sessionId;
    this.startedAtMilliseconds = startedAtMilliseconds;
    this.#lastActivityMilliseconds = startedAtMilliseconds;
  }

  static fromSnapshot(organisation: string, snapshot: ProgramSnapshot): Program {
    const { path, sessionId, startedAtMilliseconds } = snapshot;
    const identifier = { organisation, path };
    const program = new Program({ program: identifier, sessionId, startedAtMilliseconds });
    snapshot.history.forEach((entry) => {
      program.#addToHistory(entry);
    });
    program.#attempts.push(...snapshot.attempts);
    program.#end = snapshot.end;
    program.#lastActivityMilliseconds = snapshot.lastActivityMilliseconds;
    return program;
  }

  toSnapshot(): ProgramSnapshot {
    return {
      path: this.program.path,
      sessionId: this.sessionId,
      startedAtMilliseconds: this.startedAtMilliseconds,
      lastActivityMilliseconds: this.#lastActivityMilliseconds,
      history: [...this.#history],
      attempts: [...this.#attempts],
      ...(this.#end && { end: this.#end }),
    };
  }

  /** Calls with outcomes, indexed by sequence. */
  get history(): readonly HistoryEntry[] {
    return this.#history;
  }

  /** The latest attempt of the call in progress. */
  get current(): CallUnderWay | undefined {
    return this.#attempts[this.#attempts.length - 1];
  }

  get end(): ProgramEnd | undefined {
    return this.#end;
  }

  get lastActivityMilliseconds(): number {
    return this.#lastActivityMilliseconds;
  }

  /** Returns the call whose outcome is final for an idempotency key. */
  findSettledCall(idempotencyKey: string): HistoryEntry | undefined {
    return this.#settledByKey.get(idempotencyKey);
  }

  /**
   * Returns the digest of the request that uses an idempotency key; `undefined` if the key is free.
   */
  getRequestDigest(idempotencyKey: string): string | undefined {
    const { current } = this;
    if (current?.idempotencyKey === idempotencyKey) return current.requestDigest;
    return this.#digestByRunKey.get(idempotencyKey);
  }

  /** Returns whether the outcome of a call is in the history. */
  hasFinished(callId: string): boolean {
    return this.#finishedCallIds.has(callId);
  }

  /** Returns whether a request ran in this program, matched by idempotency key and digest. */
  getExecuted(idempotencyKey: string, requestDigest: string): Executed {
    if (this.#digestByRunKey.get(idempotencyKey) === requestDigest) {
      const outcome = this.#settledByKey.get(idempotencyKey)?.outcome;
      return outcome?.kind === 'answered' ? 'yes' : (outcome?.executed ?? 'unknown');
    }
    const { current } = this;
    const isCurrent =
      current?.idempotencyKey === idempotencyKey && current.requestDigest === requestDigest;
    return isCurrent ? 'unknown' : 'no';
  }

  /** Returns whether a call identifier belongs to an attempt of the call in progress. */
  hasAttempt(callId: string): boolean {
    return this.#attempts.some((attempt) => attempt.callId === callId);
  }

  /** Adds an attempt of the call in progress, after the lost one, if any. */
  addAttempt(attempt: CallUnderWay): void {
    this.#attempts.push(attempt);
    this.#lastActivityMilliseconds = attempt.intendedAtMilliseconds;
  }

  /** Removes the latest attempt, which was never dispatched; a lost attempt before it remains. */
  withdrawAttempt(): CallUnderWay | undefined {
    return this.#attempts.pop();
  }

  /** Moves the call in progress to the history. */
  finish(outcome: CallOutcome, finishedAtMilliseconds: number): void {
    const { current } = this;
    if (!current) return;
    this.#addToHistory({ ...current, outcome, finishedAtMilliseconds });
    this.#attempts.length = 0;
    this.#lastActivityMilliseconds = finishedAtMilliseconds;
  }

  /** Ends the program; only the first end is kept. */
  setEnd(end: ProgramEnd): void {
    this.#end ??= end;
  }

  #addToHistory(entry: HistoryEntry): void {
    this.#history.push(entry);
    this.#finishedCallIds.add(entry.callId);
    if (entry.outcome.kind === 'answered' || entry.outcome.executed !== 'no') {
      this.#digestByRunKey.set(entry.idempotencyKey, entry.requestDigest);
    }
    if (!settlesKey(entry.outcome, entry.idempotent)) return;
    this.#settledByKey.set(entry.idempotencyKey, entry);
  }
}
