import type { Logger, Metrics } from '@limpetnotch/observability';
import type { FleetTarget } from '../targets/fleetTarget';
import { getIncarnationKey } from '../targets/getIncarnationKey';

/** How a connection to a target failed that another instance reaches. */
export type CutEvidence = 'timeout' | 'refused';

/** Share of the targets without a path from which on this instance counts as isolated. */
const ISOLATED_RATIO = 0.5;

/** The failure of a single target is no sign of isolation, unless there is no other. */
const LEAST_CUT_TARGETS = 2;

interface CutPath {
  readonly evidence: CutEvidence;
  readonly sinceMilliseconds: number;
}

/** Dependencies of {@link TargetPaths}. */
export interface TargetPathsParts {
  /** Returns the targets that are announced. */
  readonly targets: () => readonly FleetTarget[];
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Whether this instance can open connections to each target. Load pattern: one instance, or all of
 * an availability zone, loses its connections to some or all targets, while other instances reach
 * them, and callers keep sending to it. A path counts as cut only if another instance reaches the
 * target, so that the failure of a target is never taken for one. If most paths are cut, the others
 * are taken to be cut, too, until a connection shows otherwise.
 */
export class TargetPaths {
  readonly #parts: TargetPathsParts;

  readonly #cut = new Map<string, CutPath>();

  /** Targets to which a connection was opened since this instance became isolated. */
  readonly #reachedWhileIsolated = new Set<string>();

  #isolatedSinceMilliseconds: number | undefined;

  constructor(parts: TargetPathsParts) {
    this.#parts = parts;
  }

  /** Whether most targets can't be reached from here. */
  get isIsolated(): boolean {
    return this.#isolatedSinceMilliseconds !== undefined;
  }

  /** Targets to which no connection can be opened from here. */
  get cutTargets(): readonly FleetTarget[] {
    if (this.#cut.size === 0) return [];
    return this.#parts.targets().filter((target) => this.isCut(target));
  }

  /** Whether no connection to a target can be opened from here. */
  isCut(target: FleetTarget): boolean {
    if (this.#cut.size === 0) return false;
    const key = getIncarnationKey(target);
    return this.#cut.has(key) || (this.isIsolated && !this.#reachedWhileIsolated.has(key));
  }

  /** Whether packets to some target are dropped. */
  get isAnyLost(): boolean {
    return [...this.#cut.values()].some(({ evidence }) => evidence === 'timeout');
  }

  /** Whether open connections to a target have been lost, too: nothing comes back on them. */
  isSilent(target: FleetTarget): boolean {
    return this.#cut.get(getIncarnationKey(target))?.evidence === 'timeout';
  }

  /** Records that a connection could not be opened to a target that another instance reaches. */
  recordCut(target: FleetTarget, evidence: CutEvidence): void {
    const key = getIncarnationKey(target);
    this.#reachedWhileIsolated.delete(key);
    if (this.#cut.has(key)) return;
    this.#cut.set(key, { evidence, sinceMilliseconds: performance.now() });
    this.#parts.metrics.increment('paths.cuts', 1, { evidence });
    this.#parts.logger.info('paths.cut', { target: target.id, evidence, cut: this.#cut.size });
    this.#updateIsolation();
  }

  /** Records that a connection to a target was opened. */
  recordReached(target: FleetTarget): void {
    if (this.#cut.size === 0) return;
    const key = getIncarnationKey(target);
    if (this.isIsolated) this.#reachedWhileIsolated.add(key);
    const path = this.#cut.get(key);
    if (!path) return;
    this.#cut.delete(key);
    this.#parts.logger.info('paths.restored', {
      target: target.id,
      evidence: path.evidence,
      cutMilliseconds: Math.round(performance.now() - path.sinceMilliseconds),
      cut: this.#cut.size,
    });
    this.#updateIsolation();
  }

  /** Removes targets that are no longer announced. */
  retain(isAnnounced: (incarnationKey: string) => boolean): void {
    if (this.#cut.size === 0) return;
    [...this.#cut.keys()]
      .filter((key) => !isAnnounced(key))
      .forEach((key) => this.#cut.delete(key));
    this.#updateIsolation();
  }

  #updateIsolation(): void {
    const targets = this.#parts.targets().length;
    const least = Math.max(1, Math.min(LEAST_CUT_TARGETS, targets));
    const isIsolated = this.#cut.size >= least && this.#cut.size >= targets * ISOLATED_RATIO;
    if (isIsolated === this.isIsolated) return;
    const since = this.#isolatedSinceMilliseconds;
    this.#reachedWhileIsolated.clear();
    this.#isolatedSinceMilliseconds = isIsolated ? performance.now() : undefined;
    this.#parts.logger.warn(isIsolated ? 'paths.isolated' : 'paths.isolation-ended', {
      cut: this.#cut.size,
      targets,
      isolatedMilliseconds: since && Math.round(performance.now() - since),
    });
  }
}
