import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ConnectionCheck } from './connectionCheck';
import type { FleetTarget } from './fleetTarget';
import type { AnnouncementEvidence, TargetDirectory } from './targetDirectory';
import { getIncarnationKey } from './getIncarnationKey';

/** How an instance detected that a target ended without announcing it. */
export type CrashEvidence = 'connection-refused' | 'answered-as-another' | AnnouncementEvidence;

/** An announcement lapses after three missed heartbeats; its removal arrives up to a second later. */
const SUSPICION_MILLISECONDS = 6_000;

/** Crashed incarnations that are recorded; the oldest are evicted beyond this number. */
const MAXIMUM_CRASHED_INCARNATIONS = 1_000;

/** Interrupted runs whose target is under suspicion; the oldest are evicted beyond this number. */
const MAXIMUM_SUSPICIONS = 1_000;

/** A run without a response whose target may have crashed during it. */
export interface InterruptedRun {
  readonly target: FleetTarget;
  readonly request: string;
  /** When the request was sent, as Unix time in milliseconds. */
  readonly sentAtMilliseconds: number;
  /** Whether the target became unresponsive; otherwise the connection broke. */
  readonly isUnresponsive: boolean;
  /** Called at most once, when the crash of the target is established. */
  readonly onCrash: (evidence: CrashEvidence) => void;
}

interface Suspicion extends InterruptedRun {
  readonly incarnationKey: string;
  readonly untilMilliseconds: number;
}

/** Dependencies of the crash detector. */
export interface CrashDetectorParts {
  readonly directory: TargetDirectory;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Connects to a target; `refused` if the target refuses connections from everywhere. */
  readonly check: (target: FleetTarget) => Promise<ConnectionCheck>;
}

/** Detects targets that crashed during a request, that is, ended without announcing it. */
export class CrashDetector {
  readonly #parts: CrashDetectorParts;

  readonly #crashedIncarnations = new Map<string, CrashEvidence>();

  readonly #connectionChecks = new Map<string, Promise<void>>();

  readonly #suspicions = new Set<Suspicion>();

  constructor(parts: CrashDetectorParts) {
    this.#parts = parts;
  }

  /** Investigates an interrupted run; resolves when its target has been checked. */
  async investigate(run: InterruptedRun): Promise<void> {
    const { directory } = this.#parts;
    if (directory.isLeaving(run.target, run.isUnresponsive)) return;
    // Another incarnation or target had the address before the request was sent.
    if (directory.wasReplacedBefore(run.target, run.sentAtMilliseconds)) return;
    const incarnationKey = getIncarnationKey(run.target);
    const untilMilliseconds = performance.now() + SUSPICION_MILLISECONDS;
    this.#evictSuspicions();
    this.#suspicions.add({ ...run, incarnationKey, untilMilliseconds });
    const evidence =
      this.#crashedIncarnations.get(incarnationKey) ??
      directory.findCrashEvidence(run.target, run.isUnresponsive);
    if (evidence) this.report(run.target, evidence);
    else await this.#checkOnce(run, incarnationKey);
  }

  /** Records that nothing listens at a target's address. */
  reportRefused(target: FleetTarget): void {
    if (!this.#parts.directory.isLeaving(target, true)) this.report(target, 'connection-refused');
  }

  /** Records that an incarnation of a target has crashed, and notifies the runs it interrupted. */
  report(target: FleetTarget, evidence: CrashEvidence): void {
    const incarnationKey = getIncarnationKey(target);
    const interrupted = [...this.#suspicions].filter(
      (suspicion) => suspicion.incarnationKey === incarnationKey,
    );
    if (interrupted.length === 0 && !this.#crashedIncarnations.has(incarnationKey)) return;
    if (!this.#crashedIncarnations.has(incarnationKey)) {
      this.#parts.logger.info('targets.crashed', {
        target: target.id,
        bornMilliseconds: target.bornMilliseconds,
        evidence,
        interrupted: interrupted.length,
      });
      this.#parts.metrics.increment('targets.crashes', 1, { evidence });
      this.#recordCrash(incarnationKey, evidence);
    }
    interrupted.forEach((suspicion) => {
      this.#suspicions.delete(suspicion);
      suspicion.onCrash(evidence);
    });
  }

  /** Compares interrupted runs with the targets' announcements; call this when these change. */
  checkAnnouncements(): void {
    this.#evictSuspicions();
    this.#suspicions.forEach(({ target, isUnresponsive }) => {
      const evidence = this.#parts.directory.findCrashEvidence(target, isUnresponsive);
      if (evidence) this.report(target, evidence);
    });
  }

  /** Checks a target by connecting to it, once for all runs that were interrupted together. */
  async #checkOnce(run: InterruptedRun, incarnationKey: string): Promise<void> {
    const running = this.#connectionChecks.get(incarnationKey) ?? this.#connect(run);
    this.#connectionChecks.set(incarnationKey, running);
    await running.finally(() => this.#connectionChecks.delete(incarnationKey));
  }

  async #connect({ target, request }: InterruptedRun): Promise<void> {
    const result = await this.#parts.check(target);
    this.#parts.logger.info('targets.checked', { target: target.id, request, result });
    if (result !== 'refused') return;
    this.#parts.directory.markRefused(target);
    this.reportRefused(target);
  }

  #recordCrash(incarnationKey: string, evidence: CrashEvidence): void {
    this.#crashedIncarnations.set(incarnationKey, evidence);
    if (this.#crashedIncarnations.size <= MAXIMUM_CRASHED_INCARNATIONS) return;
    const [oldest] = this.#crashedIncarnations.keys();
    if (oldest !== undefined) this.#crashedIncarnations.delete(oldest);
  }

  #evictSuspicions(): void {
    const now = performance.now();
    this.#suspicions.forEach((suspicion) => {
      const isPast = now >= suspicion.untilMilliseconds;
      if (isPast || this.#suspicions.size >= MAXIMUM_SUSPICIONS) this.#suspicions.delete(suspicion);
    });
  }
}
