import type { LogFields, Logger, Metrics } from '@limpetnotch/observability';
import type { QuarantineEntry, QuarantineStage } from '@limpetnotch/scheduling';
import { countedCrashes, Quarantine } from '@limpetnotch/scheduling';
import { settleWithin } from '@limpetnotch/supervision';
import type { AttemptOutcome } from '../calls/attemptOutcome';
import type { Call } from '../calls/call';
import type { FleetTarget } from '../targets/fleetTarget';
import type { CrashEvidence, CrashDetector } from '../targets/crashDetector';
import { getIncarnationKey } from '../targets/getIncarnationKey';
import type { TargetLoads } from '../targets/targetLoads';
import { RecentKeys } from '../util/recentKeys';
import { CrashWorkload } from './crashWorkload';
import { classifyInterruption } from './interruption';
import { ServedRequests } from './servedRequests';

/** Number of crashes after which a request is quarantined, unless something else explains them. */
const QUARANTINE_CRASHES = 3;

/** Number of crashes from which on all instances are notified of a request. */
const SHARED_CRASHES = 2;

/** Requests that all instances were notified of, and are notified of when they are lifted. */
const MAXIMUM_SHARED = 10_000;

/** An entry expires this long after its last crash, which is also the store's longest lease. */
export const QUARANTINE_MILLISECONDS = 600_000;

/** A target that ran a request for this long before it crashed likely crashed for another reason. */
const LONG_RUN_MILLISECONDS = 1_000;

/** A retry waits this long for the check of its last target, which takes one round trip. */
const CHECK_WAIT_MILLISECONDS = 50;

/** Where an instance received an entry from. */
export type QuarantineSource = 'peer' | 'store';

/** Dependencies of a {@link RequestQuarantine}. */
export interface RequestQuarantineParts {
  readonly crashDetector: CrashDetector;
  readonly loads: TargetLoads;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** An attempt that has ended, with its outcome. */
export interface EndedAttempt {
  readonly call: Call;
  readonly target: FleetTarget;
  readonly outcome: AttemptOutcome;
  /** How long the target ran the request. */
  readonly ranMilliseconds: number;
}

/** Describes the crashes counted against a request for the log: each target and the crash's age. */
const describeCrashes = (entry: QuarantineEntry | undefined): string =>
  (entry ? countedCrashes(entry) : [])
    .map(
      ({ target, atMilliseconds }) => `${target} ${Math.round(Date.now() - atMilliseconds)} ms ago`,
    )
    .join(', ');

/**
 * Quarantines requests that crash the targets that run them. A crash counts for less if something
 * else may explain it, and a request that a target has served is cleared.
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

  /** Returns the stage of suspicion that a request is in. */
  stageOf(digest: string): QuarantineStage {
    return this.#quarantine.stageOf(digest);
  }

  /** Whether all instances are notified of changes to a request's entry. */
  isSharedWithAll(digest: string): boolean {
    return this.#shared.has(digest);
  }

  /** Returns why a request is not run, for the log. */
  describe(digest: string): LogFields {
    return { digest, crashes: describeCrashes(this.#quarantine.find(digest)) };
  }

  /** Registers a listener for changes made by this instance, not for entries merged from others. */
  onChange(listener: (entry: QuarantineEntry) => void): void {
    this.#quarantine.onChange(listener);
  }

  /** Merges an entry from another instance; returns the merged entry unless it has expired. */
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
   * Records the end of an attempt. If the request may be retried, resolves once the target has been
   * checked for a crash, or after a short timeout.
   */
  async recordAttempt(ended: EndedAttempt): Promise<void> {
    const { call, target, outcome } = ended;
    const { crashDetector } = this.#parts;
    if (outcome.kind === 'delivered') {
      if (outcome.status >= 200 && outcome.status < 300) this.#recordServed(call);
      return;
    }
    if (outcome.kind === 'declined' && outcome.reason === 'misdirected') {
      crashDetector.report(target, 'answered-as-another');
    }
    if (outcome.kind === 'not-sent' && outcome.isRefused) crashDetector.reportRefused(target);
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
    if (countedCrashes(entry).length >= SHARED_CRASHES) this.#shared.add(entry.requestDigest);
  }

  /** Whether a target served a request for this instance after all recorded crashes. */
  #wasServedSince(entry: QuarantineEntry): boolean {
    const servedAge = this.#served.getAgeMilliseconds(entry.requestDigest);
    const crashes = countedCrashes(entry);
    if (servedAge === undefined || crashes.length === 0) return false;
    const servedAt = Date.now() - servedAge;
    return crashes.every(({ atMilliseconds }) => atMilliseconds < servedAt);
  }

  /** Clears a request that a target has served, since it does not crash every target. */
  #recordServed({ digest, envelope }: Call): void {
    this.#served.record(digest);
    this.#clear(digest, envelope.id);
  }

  #clear(digest: string, request?: string): void {
    if (!this.#quarantine.lift(digest)) return;
    this.#parts.logger.info('quarantine.cleared', { request, digest });
    this.#parts.metrics.increment('quarantine.cleared');
  }

  /** Returns a listener for the crash of an attempt's target, which may be detected later. */
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
      // An unresponsive target that closed its listener may still be running the request.
      if (!isUnresponsive) call.history.recordCrash(target, evidence);
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
