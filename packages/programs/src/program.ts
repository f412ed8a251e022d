import type { CallUnderWay, HistoryEntry, ProgramEnd, ProgramSnapshot } from './ledgerSnapshot';
import type { CallOutcome, Executed, ProgramIdentifier } from './programRecord';

/**
 * Whether an outcome settles its idempotency key for good. A call that did not run, or that may be
 * repeated and has no answer, leaves its key free to run again.
 */
const settlesKey = (outcome: CallOutcome, idempotent: boolean): boolean => {
  if (outcome.kind === 'answered') return true;
  if (outcome.executed === 'no') return false;
  return outcome.executed === 'yes' || !idempotent;
};

/** Options of a {@link Program}. */
export interface ProgramOptions {
  readonly program: ProgramIdentifier;
  /** Names the program's session at engines. */
  readonly sessionId: string;
  readonly startedAtMilliseconds: number;
}

/** One program path: its history, the call under way and its end. */
export class Program {
  readonly program: ProgramIdentifier;

  readonly startedAtMilliseconds: number;

  /** Names the program's session at engines. */
  readonly sessionId: string;

  readonly #history: HistoryEntry[] = [];

  readonly #settledByKey = new Map<string, HistoryEntry>();

  /** Idempotency keys of calls that ran, or may have run, with the digest of their request. */
  readonly #digestOfRunKey = new Map<string, string>();

  readonly #finishedCallIds = new Set<string>();

  /** Attempts of the call under way, the latest last; the others were lost with their owners. */
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
      program.#remember(entry);
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

  /** Calls with outcomes; the entry of a sequence is at that index. */
  get history(): readonly HistoryEntry[] {
    return this.#history;
  }

  /** The latest attempt of the call under way. */
  get current(): CallUnderWay | undefined {
    return this.#attempts[this.#attempts.length - 1];
  }

  get end(): ProgramEnd | undefined {
    return this.#end;
  }

  get lastActivityMilliseconds(): number {
    return this.#lastActivityMilliseconds;
  }

  /** Returns the call that settled an idempotency key. */
  settledCall(idempotencyKey: string): HistoryEntry | undefined {
    return this.#settledByKey.get(idempotencyKey);
  }

  /** Returns the digest of the request that holds an idempotency key; a key that did not run is free. */
  digestOf(idempotencyKey: string): string | undefined {
    const { current } = this;
    if (current?.idempotencyKey === idempotencyKey) return current.requestDigest;
    return this.#digestOfRunKey.get(idempotencyKey);
  }

  /** Tells whether a call has its outcome in the history. */
  hasFinished(callId: string): boolean {
    return this.#finishedCallIds.has(callId);
  }

  /** Returns whether a request ran in this program, by its idempotency key and digest. */
  executed(idempotencyKey: string, requestDigest: string): Executed {
    if (this.#digestOfRunKey.get(idempotencyKey) === requestDigest) {
      const outcome = this.#settledByKey.get(idempotencyKey)?.outcome;
      return outcome?.kind === 'answered' ? 'yes' : (outcome?.executed ?? 'unknown');
    }
    const { current } = this;
    const isCurrent =
      current?.idempotencyKey === idempotencyKey && current.requestDigest === requestDigest;
    return isCurrent ? 'unknown' : 'no';
  }

  /** Tells whether a call is an attempt of the call under way. */
  hasAttempt(callId: string): boolean {
    return this.#attempts.some((attempt) => attempt.callId === callId);
  }

  /** Adds an attempt of the call under way, behind the one that was lost, if any. */
  intend(attempt: CallUnderWay): void {
    this.#attempts.push(attempt);
    this.#lastActivityMilliseconds = attempt.intendedAtMilliseconds;
  }

  /** Takes back the latest attempt, which was never dispatched; the lost one before it stays. */
  withdrawAttempt(): CallUnderWay | undefined {
    return this.#attempts.pop();
  }

  /** Moves the call under way into the history. */
  finish(outcome: CallOutcome, finishedAtMilliseconds: number): void {
    const { current } = this;
    if (!current) return;
    this.#remember({ ...current, outcome, finishedAtMilliseconds });
    this.#attempts.length = 0;
    this.#lastActivityMilliseconds = finishedAtMilliseconds;
  }

  /** Ends the program; the first end holds. */
  endWith(end: ProgramEnd): void {
    this.#end ??= end;
  }

  #remember(entry: HistoryEntry): void {
    this.#history.push(entry);
    this.#finishedCallIds.add(entry.callId);
    if (entry.outcome.kind === 'answered' || entry.outcome.executed !== 'no') {
      this.#digestOfRunKey.set(entry.idempotencyKey, entry.requestDigest);
    }
    if (!settlesKey(entry.outcome, entry.idempotent)) return;
    this.#settledByKey.set(entry.idempotencyKey, entry);
  }
}
