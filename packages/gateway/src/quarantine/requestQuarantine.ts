import type { LogFields, Logger, Metrics } from '@limpetnotch/observability';
import type { QuarantineEntry, QuarantineStage } from '@limpetnotch/scheduling';
import { countedCrashes, Quarantine } from '@limpetnotch/scheduling';
import { settleWithin } from '@limpetnotch/supervision';
import type { AttemptOutcome } from '../calls/attemptOutcome';
import type { Call } from '../calls/call';
import type { FleetTarget } from '../targets/fleetTarget';
import type { CrashEvidence, TargetEnds } from '../targets/targetEnds';
import { getIncarnationKey } from '../targets/getIncarnationKey';
import type { TargetLoads } from '../targets/targetLoads';
import { RecentKeys } from '../util/recentKeys';
import { CrashWorkload } from './crashWorkload';
import { classifyInterruption } from './interruption';
import { ServedRequests } from './servedRequests';

/** Crashes that put a request into quarantine, where nothing else explains them. */
const QUARANTINE_CRASHES = 3;

/** Crashes from which on every instance is told of a request. */
const SHARED_CRASHES = 2;

/** Requests of which every instance was told, and is told of a lift. */
const MAXIMUM_SHARED = 10_000;

/** A request is forgotten this long after its last crash; the store's longest lease is as long. */
export const QUARANTINE_MILLISECONDS = 600_000;

/** A target that ran a request this long without harm has more likely crashed for another reason. */
const LONG_RUN_MILLISECONDS = 1_000;

/** A request is sent again once its last target was checked, which takes a round trip. */
const CHECK_WAIT_MILLISECONDS = 50;

/** Where an instance learnt of a request. */
export type QuarantineSource = 'peer' | 'store';

/** Parts of a {@link RequestQuarantine}. */
export interface RequestQuarantineParts {
  readonly ends: TargetEnds;
  readonly loads: TargetLoads;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly call: Call;
  readonly target: FleetTarget;
  readonly outcome: AttemptOutcome;
  /** How long the target had the request. */
  readonly ranMilliseconds: number;
}

/** Returns the crashes that count against a request, for the log: each target with its age. */
const describeCrashes = (entry: QuarantineEntry | undefined): string =>
  (entry ? countedCrashes(entry) : [])
    .map(
      ({ target, atMilliseconds }) => `${target} ${Math.round(Date.now() - atMilliseconds)} ms ago`,
    )
    .join(', ');

/**
 * Requests that crash the targets that run them. A crash counts for less where something else may
 * explain it, and a request that a target has served is cleared.
 */
export class RequestQuarantine {
  readonly #parts: RequestQuarantineParts;

  readonly #quarantine = new Quarantine({
    crashes: QUARANTINE_CRASHES,
    expiryMilliseconds: QUARANTINE_MILLISECONDS,
  });

  readonly #served = new ServedRequests();

  readonly #shared = new RecentKeys(MAXIMUM_SHARED);

  readonly #workload: CrashWorkload;

  constructor(parts: RequestQuarantineParts) {
    this.#parts = parts;
    this.#workload = new CrashWorkload(parts.loads);
    this.#quarantine.onChange((entry) => this.#recordShared(entry));
  }

  /** Returns how far a request is under suspicion. */
  stageOf(digest: string): QuarantineStage {
    return this.#quarantine.stageOf(digest);
  }

  /** Whether every instance is to be told of what happens to a request. */
  isSharedWithAll(digest: string): boolean {
    return this.#shared.has(digest);
  }

  /** Returns why a request is not run, for the log. */
  describe(digest: string): LogFields {
    return { digest, crashes: describeCrashes(this.#quarantine.find(digest)) };
  }

  /** Is told of each change that was made here, not of what was learnt. */
  onChange(listener: (entry: QuarantineEntry) => void): void {
    this.#quarantine.onChange(listener);
  }

  /** Takes an entry of another instance; returns what is known then, unless it has expired. */
  mergeEntry(entry: QuarantineEntry, source: QuarantineSource): QuarantineEntry | undefined {
    const { requestDigest: digest } = entry;
    const before = this.stageOf(digest);
    this.#recordShared(entry);
    const merged = this.#quarantine.mergeOne(entry);
    if (merged) this.#recordShared(merged);
    if (merged && this.#wasServedSince(merged)) this.#clear(digest);
    const stage = this.stageOf(digest);
    if (stage !== before) {
      this.#parts.logger.info('quarantine.learnt', { ...this.describe(digest), stage, source });
    }
    return this.#quarantine.find(digest);
  }

  /**
   * Takes the end of an attempt. Where the request may be sent again, it resolves when it is known
   * whether the target has ended, or when that takes too long to wait for it.
   */
  async noteAttempt(ended: EndedAttempt): Promise<void> {
    const { call, target, outcome } = ended;
    const { ends: crashDetector } = this.#parts;
    if (outcome.kind === 'delivered') {
      if (outcome.status >= 200 && outcome.status < 300) this.#recordServed(call);
      return;
    }
    if (outcome.kind === 'declined' && outcome.reason === 'misdirected') {
      crashDetector.reportCrash(target, 'answered-as-another');
    }
    if (outcome.kind === 'not-sent' && outcome.isRefused) {
      crashDetector.reportRefusedConnection(target);
    }
    const interruption = classifyInterruption(outcome);
    if (!interruption) return;
    const isUnresponsive = interruption === 'silence';
    const onCrash = this.#createCrashListener(ended, isUnresponsive);
    const checked = crashDetector.investigate({
      target,
      request: call.envelope.id,
      sentAtMilliseconds: Date.now() - ended.ranMilliseconds,
      isUnresponsive,
      onCrash,
    });
    if (isUnresponsive || !call.isRepeatable) return;
    await settleWithin(checked, CHECK_WAIT_MILLISECONDS, () => undefined);
  }

  #recordShared(entry: QuarantineEntry): void {
    if (countedCrashes(entry).length >= SHARED_CRASHES) this.#shared.note(entry.requestDigest);
  }

  /** Whether a target served a request here after all crashes that are known of it. */
  #wasServedSince(entry: QuarantineEntry): boolean {
    const servedAge = this.#served.getAgeMilliseconds(entry.requestDigest);
    const crashes = countedCrashes(entry);
    if (servedAge === undefined || crashes.length === 0) return false;
    const servedAt = Date.now() - servedAge;
    return crashes.every(({ atMilliseconds }) => atMilliseconds < servedAt);
  }

  /** A request that a target has served does not crash each one that runs it. */
  #recordServed({ digest, envelope }: Call): void {
    this.#served.record(digest);
    this.#clear(digest, envelope.id);
  }

  #clear(digest: string, request?: string): void {
    if (!this.#quarantine.lift(digest)) return;
    this.#parts.logger.info('quarantine.cleared', { request, digest });
    this.#parts.metrics.increment('quarantine.cleared');
  }

  /** Returns what takes the news that the target of an attempt has ended; it may come later. */
  #createCrashListener(
    { call, target, ranMilliseconds }: EndedAttempt,
    isUnresponsive: boolean,
  ): (evidence: CrashEvidence) => void {
    const { digest } = call;
    const brokenAt = performance.now();
    const inFlight = this.#workload.getInFlightAtBreak(target);
    const isIncidental =
      isUnresponsive ||
      inFlight >= 2 ||
      ranMilliseconds >= LONG_RUN_MILLISECONDS ||
      this.#served.getAgeMilliseconds(digest) !== undefined;
    return (evidence) => {
      // One that fell silent and closed its listener may be at work still.
      if (!isUnresponsive) call.history.noteCrash(target, evidence);
      const ageMilliseconds = performance.now() - brokenAt;
      const servedAge = this.#served.getAgeMilliseconds(digest) ?? Infinity;
      if (servedAge < ageMilliseconds) return;
      const request = { requestDigest: digest, organisation: call.organisation?.name ?? '' };
      this.#quarantine.recordCrash(
        { ...request, route: call.route.name },
        getIncarnationKey(target),
        {
          ageMilliseconds,
          isIncidental,
        },
      );
      this.#parts.metrics.increment('quarantine.crashes', 1, {
        isIncidental: String(isIncidental),
      });
      this.#parts.logger.info('quarantine.crash-noted', {
        request: call.envelope.id,
        target: target.id,
        evidence,
        isIncidental,
        underWay: Math.round(inFlight),
        ranMilliseconds: Math.round(ranMilliseconds),
        servedMilliseconds: Number.isFinite(servedAge) ? Math.round(servedAge) : undefined,
        stage: this.stageOf(digest),
        ...this.describe(digest),
      });
    };
  }
}
