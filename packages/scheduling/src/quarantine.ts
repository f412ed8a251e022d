import type { QuarantineEntry } from './quarantineEntry';
import {
  countedCrashes,
  CRASH_POINTS,
  crashPoints,
  mergeQuarantineEntries,
} from './quarantineEntry';

const MAXIMUM_ENTRIES = 10_000;

const JUST_NOW: CrashCircumstances = { ageMilliseconds: 0, isIncidental: false };

/** Receives each entry that changed at this instance, so that it can be spread. */
export type QuarantineListener = (entry: QuarantineEntry) => void;

/** A request that was under way at a crash. */
export interface CrashedRequest {
  readonly requestDigest: string;
  readonly organisation: string;
  readonly route: string;
}

/** What is known of a crash beside the request and the target. */
export interface CrashCircumstances {
  /** How long ago the target crashed, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Whether something else than the request may explain it. */
  readonly isIncidental: boolean;
}

/** How far a request is under suspicion. */
export type QuarantineStage =
  | 'clear'
  /** It was under way at a crash that something else may explain. */
  | 'noted'
  /** It is to run where it harms few others, until a target has served it. */
  | 'on-trial'
  /** As on trial, and one more crash that nothing else explains puts it into quarantine. */
  | 'last-trial'
  /** It is not to run. */
  | 'quarantined';

/** Options of a {@link Quarantine}. */
export interface QuarantineOptions {
  /**
   * Crashes of different targets after which a request is quarantined, where nothing else explains
   * them; others count less.
   */
  readonly crashes: number;
  readonly expiryMilliseconds: number;
}

/** Requests that crash targets, by digest; the oldest entry goes when there are too many. */
export class Quarantine {
  readonly #options: QuarantineOptions;

  readonly #entries = new Map<string, QuarantineEntry>();

  readonly #listeners: QuarantineListener[] = [];

  constructor(options: QuarantineOptions) {
    this.#options = options;
  }

  /** Notes that a target crashed with the request under way; returns whether it is quarantined. */
  recordCrash(
    request: CrashedRequest,
    target: string,
    { ageMilliseconds, isIncidental }: CrashCircumstances = JUST_NOW,
  ): boolean {
    const now = Date.now();
    const lifted = this.#current(request.requestDigest)?.liftedAtMilliseconds ?? 0;
    this.#change({
      requestDigest: request.requestDigest,
      organisation: request.organisation,
      route: request.route,
      // A clock that was set back must not hide a crash behind an earlier lift.
      crashes: [
        { target, atMilliseconds: Math.max(now - ageMilliseconds, lifted + 1), isIncidental },
      ],
      liftedAtMilliseconds: 0,
      expiresAtMilliseconds: now + this.#options.expiryMilliseconds,
    });
    return this.isQuarantined(request.requestDigest);
  }

  isQuarantined(requestDigest: string): boolean {
    const entry = this.#current(requestDigest);
    return entry !== undefined && this.#binds(entry);
  }

  /** Returns how far a request is under suspicion. */
  stageOf(requestDigest: string): QuarantineStage {
    const entry = this.#current(requestDigest);
    const points = entry ? crashPoints(entry) : 0;
    const bound = this.#options.crashes * CRASH_POINTS;
    if (points >= bound) return 'quarantined';
    if (points + CRASH_POINTS >= bound) return 'last-trial';
    if (points >= CRASH_POINTS) return 'on-trial';
    return points > 0 ? 'noted' : 'clear';
  }

  /** Returns what is known of a request; undefined where nothing is. */
  find(requestDigest: string): QuarantineEntry | undefined {
    return this.#current(requestDigest);
  }

  /** Returns whether the request was under way at a crash that still counts. */
  isSuspected(requestDigest: string): boolean {
    const entry = this.#current(requestDigest);
    return entry !== undefined && countedCrashes(entry).length > 0;
  }

  /** Returns the requests that are quarantined now. */
  list(): readonly QuarantineEntry[] {
    return [...this.#entries.keys()]
      .map((requestDigest) => this.#current(requestDigest))
      .filter((entry) => entry !== undefined)
      .filter((entry) => this.#binds(entry));
  }

  /** Lifts the quarantine of a request; returns whether it was suspected. */
  lift(requestDigest: string): boolean {
    const entry = this.#current(requestDigest);
    if (!entry || countedCrashes(entry).length === 0) return false;
    const latest = Math.max(...countedCrashes(entry).map(({ atMilliseconds }) => atMilliseconds));
    this.#change({ ...entry, liftedAtMilliseconds: Math.max(Date.now(), latest) });
    return true;
  }

  /** Takes in entries of other instances. */
  merge(entries: readonly QuarantineEntry[]): void {
    entries.forEach((entry) => {
      this.mergeOne(entry);
    });
  }

  /** Takes in an entry of another instance; returns what is known then, unless it has expired. */
  mergeOne(entry: QuarantineEntry): QuarantineEntry | undefined {
    return entry.expiresAtMilliseconds > Date.now() ? this.#keep(entry) : undefined;
  }

  /** Adds a listener that is told of each change made here, not of merged entries. */
  onChange(listener: QuarantineListener): void {
    this.#listeners.push(listener);
  }

  #binds(entry: QuarantineEntry): boolean {
    return crashPoints(entry) >= this.#options.crashes * CRASH_POINTS;
  }

  #change(entry: QuarantineEntry): void {
    const kept = this.#keep(entry);
    this.#listeners.forEach((listener) => {
      listener(kept);
    });
  }

  #keep(entry: QuarantineEntry): QuarantineEntry {
    const known = this.#current(entry.requestDigest);
    const kept = known ? mergeQuarantineEntries(known, entry) : entry;
    this.#entries.delete(entry.requestDigest);
    this.#entries.set(entry.requestDigest, kept);
    if (this.#entries.size > MAXIMUM_ENTRIES) this.#forgetOldest();
    return kept;
  }

  #forgetOldest(): void {
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }

  #current(requestDigest: string): QuarantineEntry | undefined {
    const entry = this.#entries.get(requestDigest);
    if (!entry || entry.expiresAtMilliseconds > Date.now()) return entry;
    this.#entries.delete(requestDigest);
    return undefined;
  }
}
