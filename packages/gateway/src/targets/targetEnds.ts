import type { Logger, Metrics } from '@limpetnotch/observability';
import { checkConnection } from './connectionCheck';
import type { FleetTarget } from './fleetTarget';
import type { AnnouncedEnd, TargetDirectory } from './targetDirectory';
import { targetLife } from './targetLife';
import { CONNECT_TIMEOUT_MILLISECONDS } from './targetRequest';

/** How an instance learns that a target ended without having announced it. */
export type CrashEvidence = 'connection-refused' | 'answered-as-another' | AnnouncedEnd;

/** An announcement lapses after three heartbeats of silence; the news of it takes up to a second. */
const SUSPICION_MILLISECONDS = 6_000;

/** Ended lives that are remembered; the oldest are forgotten beyond this. */
const MAXIMUM_ENDED_LIVES = 1_000;

/** Runs that may have ended with their target at one time; the oldest are forgotten beyond this. */
const MAXIMUM_SUSPICIONS = 1_000;

/** A run without an answer whose target may have ended under it. */
export interface InterruptedRun {
  readonly target: FleetTarget;
  readonly request: string;
  /** When it was sent, as Unix time in milliseconds. */
  readonly sentAtMilliseconds: number;
  /** Whether the target fell silent, in place of a connection that broke. */
  readonly isSilent: boolean;
  /** Called at most once, when the target is known to have ended. */
  readonly onCrash: (evidence: CrashEvidence) => void;
}

interface Suspicion extends InterruptedRun {
  readonly life: string;
  readonly untilMilliseconds: number;
}

/** Parts of {@link TargetEnds}. */
export interface TargetEndsParts {
  readonly directory: TargetDirectory;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly check?: typeof checkConnection;
}

/** Finds out which targets ended under a request, without having said that they leave. */
export class TargetEnds {
  readonly #parts: TargetEndsParts;

  readonly #ended = new Map<string, CrashEvidence>();

  readonly #checks = new Map<string, Promise<void>>();

  readonly #suspicions = new Set<Suspicion>();

  constructor(parts: TargetEndsParts) {
    this.#parts = parts;
  }

  /** Follows up a run that was interrupted; resolves when its target has been checked. */
  async followUp(run: InterruptedRun): Promise<void> {
    const { directory } = this.#parts;
    if (directory.hasLeft(run.target, run.isSilent)) return;
    // Another start had the address before the request was sent.
    if (directory.hadEnded(run.target, run.sentAtMilliseconds)) return;
    const life = targetLife(run.target);
    const untilMilliseconds = performance.now() + SUSPICION_MILLISECONDS;
    this.#forgetOld();
    this.#suspicions.add({ ...run, life, untilMilliseconds });
    const known = this.#ended.get(life) ?? directory.endOf(run.target, run.isSilent);
    if (known) this.note(run.target, known);
    else await this.#check(run, life);
  }

  /** Takes the news that nobody listens at a target's address. */
  noteRefused(target: FleetTarget): void {
    if (!this.#parts.directory.hasLeft(target, true)) this.note(target, 'connection-refused');
  }

  /** Takes the news that a life of a target has ended. */
  note(target: FleetTarget, evidence: CrashEvidence): void {
    const life = targetLife(target);
    const interrupted = [...this.#suspicions].filter((suspicion) => suspicion.life === life);
    if (interrupted.length === 0 && !this.#ended.has(life)) return;
    if (!this.#ended.has(life)) {
      this.#parts.logger.info('targets.crashed', {
        target: target.id,
        bornMilliseconds: target.bornMilliseconds,
        evidence,
        interrupted: interrupted.length,
      });
      this.#parts.metrics.increment('targets.crashes', 1, { evidence });
      this.#remember(life, evidence);
    }
    interrupted.forEach((suspicion) => {
      this.#suspicions.delete(suspicion);
      suspicion.onCrash(evidence);
    });
  }

  /** Compares interrupted runs with the announcements of targets; to be called when these change. */
  review(): void {
    this.#forgetOld();
    this.#suspicions.forEach(({ target, isSilent }) => {
      const evidence = this.#parts.directory.endOf(target, isSilent);
      if (evidence) this.note(target, evidence);
    });
  }

  /** Checks the target by a connection, once for all runs that it interrupted at one time. */
  async #check(run: InterruptedRun, life: string): Promise<void> {
    const running = this.#checks.get(life) ?? this.#connect(run);
    this.#checks.set(life, running);
    await running.finally(() => this.#checks.delete(life));
  }

  async #connect({ target, request }: InterruptedRun): Promise<void> {
    const check = this.#parts.check ?? checkConnection;
    const result = await check(target.address, CONNECT_TIMEOUT_MILLISECONDS);
    this.#parts.logger.info('targets.checked', { target: target.id, request, result });
    if (result !== 'refused') return;
    this.#parts.directory.markRefused(target);
    this.noteRefused(target);
  }

  #remember(life: string, evidence: CrashEvidence): void {
    this.#ended.set(life, evidence);
    if (this.#ended.size <= MAXIMUM_ENDED_LIVES) return;
    const [oldest] = this.#ended.keys();
    if (oldest !== undefined) this.#ended.delete(oldest);
  }

  #forgetOld(): void {
    const now = performance.now();
    this.#suspicions.forEach((suspicion) => {
      const isOver = now >= suspicion.untilMilliseconds;
      if (isOver || this.#suspicions.size >= MAXIMUM_SUSPICIONS) this.#suspicions.delete(suspicion);
    });
  }
}
