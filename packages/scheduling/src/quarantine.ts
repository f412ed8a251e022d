import type { QuarantineEntry } from './quarantineEntry';
import {
  countedCrashes,
  CRASH_POINTS,
  sumCrashPoints,
  mergeQuarantineEntries,
} from './quarantineEntry';

const MAXIMUM_ENTRIES = 10_000;

const DEFAULT_CIRCUMSTANCES: CrashCircumstances = { ageMilliseconds: 0, isIncidental: false };

/** Receives each entry that changed at this instance, to share it with other instances. */
export type QuarantineListener = (entry: QuarantineEntry) => void;

/** A request that was running when a target crashed. */
export interface CrashedRequest {
  readonly requestDigest: string;
  readonly organisation: string;
  readonly route: string;
}

/** Circumstances of a crash besides the request and the target. */
export interface CrashCircumstances {
  /** How long ago the target crashed, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Whether something other than the request may explain the crash. */
  readonly isIncidental: boolean;
}

/** Degree of suspicion against a request. */
export type QuarantineStage =
  | 'clear'
  /** It was running during a crash that something else may explain. */
  | 'noted'
  /** It must run where a crash affects few other requests, until a target has served it. */
  | 'on-trial'
  /** As `on-trial`; one more crash that nothing else explains quarantines the request. */
  | 'last-trial'
  /** It must not run. */
  | 'quarantined';

/** Options of a {@link Quarantine}. */
export interface QuarantineOptions {
  /**
   * Crashes of different targets after which a request is quarantined, if nothing else explains
   * them; crashes with another possible explanation count less.
   */
  readonly crashes: number;
  readonly expiryMilliseconds: number;
}

/** Tracks requests that crash targets by digest; the oldest entry is evicted at the limit. */
export class Quarantine {
  readonly #options: QuarantineOptions;

  readonly #entries = new Map<string, QuarantineEntry>();

  readonly #listeners: QuarantineListener[] = [];

  constructor(options: QuarantineOptions) {
    this.#options = options;
  }

  /** Records a crash while the request ran at the target; returns whether it is quarantined. */
  recordCrash(
    request: CrashedRequest,
    target: string,
    { ageMilliseconds, isIncidental }: CrashCircumstances = DEFAULT_CIRCUMSTANCES,
  ): boolean {
    const now = Date.now();
    const liftedAt = this.#getUnexpired(request.requestDigest)?.liftedAtMilliseconds ?? 0;
    this.#applyChange({
      requestDigest: request.requestDigest,
      organisation: request.organisation,
      route: request.route,
      // Places the crash after an earlier lift even if the clock was set back since.
      crashes: [
        { target, atMilliseconds: Math.max(now - ageMilliseconds, liftedAt + 1), isIncidental },
      ],
      liftedAtMilliseconds: 0,
      expiresAtMilliseconds: now + this.#options.expiryMilliseconds,
    });
    return this.isQuarantined(request.requestDigest);
  }

  isQuarantined(requestDigest: string): boolean {
    const entry = this.#getUnexpired(requestDigest);
    return entry !== undefined && this.#meetsThreshold(entry);
  }

  /** Returns the degree of suspicion against a request. */
  stageOf(requestDigest: string): QuarantineStage {
    const entry = this.#getUnexpired(requestDigest);
    const points = entry ? sumCrashPoints(entry) : 0;
    const threshold = this.#options.crashes * CRASH_POINTS;
    if (points >= threshold) return 'quarantined';
    if (points + CRASH_POINTS >= threshold) return 'last-trial';
    if (points >= CRASH_POINTS) return 'on-trial';
    return points > 0 ? 'noted' : 'clear';
  }

  /** Returns the entry of a request, or `undefined` if there is none. */
  find(requestDigest: string): QuarantineEntry | undefined {
    return this.#getUnexpired(requestDigest);
  }

  /** Returns whether the request was running during a crash that still counts. */
  isSuspected(requestDigest: string): boolean {
    const entry = this.#getUnexpired(requestDigest);
    return entry !== undefined && countedCrashes(entry).length > 0;
  }

  /** Returns the requests that are currently quarantined. */
  list(): readonly QuarantineEntry[] {
    return [...this.#entries.keys()]
      .map((requestDigest) => this.#getUnexpired(requestDigest))
      .filter((entry) => entry !== undefined)
      .filter((entry) => this.#meetsThreshold(entry));
  }

  /** Lifts the quarantine or suspicion of a request; returns whether it was suspected. */
  lift(requestDigest: string): boolean {
    const entry = this.#getUnexpired(requestDigest);
    if (!entry || countedCrashes(entry).length === 0) return false;
    const latest = Math.max(...countedCrashes(entry).map(({ atMilliseconds }) => atMilliseconds));
    this.#applyChange({ ...entry, liftedAtMilliseconds: Math.max(Date.now(), latest) });
    return true;
  }

  /** Merges entries of other instances. */
  merge(entries: readonly QuarantineEntry[]): void {
    entries.forEach((entry) => {
      this.mergeOne(entry);
    });
  }

  /** Merges an entry of another instance and returns the result; ignores an expired entry. */
  mergeOne(entry: QuarantineEntry): QuarantineEntry | undefined {
    return entry.expiresAtMilliseconds > Date.now() ? this.#upsert(entry) : undefined;
  }

  /** Adds a listener that is notified of each local change, but not of merged entries. */
  onChange(listener: QuarantineListener): void {
    this.#listeners.push(listener);
  }

  #meetsThreshold(entry: QuarantineEntry): boolean {
    return sumCrashPoints(entry) >= this.#options.crashes * CRASH_POINTS;
  }

  #applyChange(entry: QuarantineEntry): void {
    const merged = this.#upsert(entry);
    this.#listeners.forEach((listener) => {
      listener(merged);
    });
  }

  #upsert(entry: QuarantineEntry): QuarantineEntry {
    const existing = this.#getUnexpired(entry.requestDigest);
    const merged = existing ? mergeQuarantineEntries(existing, entry) : entry;
    this.#entries.delete(entry.requestDigest);
    this.#entries.set(entry.requestDigest, merged);
    if (this.#entries.size > MAXIMUM_ENTRIES) this.#evictOldest();
    return merged;
  }

  #evictOldest(): void {
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }

  #getUnexpired(requestDigest: string): QuarantineEntry | undefined {
    const entry = this.#entries.get(requestDigest);
    if (!entry || entry.expiresAtMilliseconds > Date.now()) return entry;
    this.#entries.delete(requestDigest);
    return undefined;
  }
}
