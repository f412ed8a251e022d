import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ChildSpecification } from '@limpetnotch/supervision';
import { Deferred, delay, settleWithin } from '@limpetnotch/supervision';
import type { ConnectionCheck } from '../targets/connectionCheck';
import { checkConnection } from '../targets/connectionCheck';
import type { FleetTarget } from '../targets/fleetTarget';
import { getIncarnationKey } from '../targets/getIncarnationKey';
import type { TargetDirectory } from '../targets/targetDirectory';
import type { TargetLoads } from '../targets/targetLoads';
import { rankInstances } from '../util/rankInstances';
import { findSilentTargets } from './findSilentTargets';
import type { PathPeers } from './pathPeers';
import type { TargetPaths } from './targetPaths';

/** A target in the same region accepts a connection within milliseconds. */
const CHECK_TIMEOUT_MILLISECONDS = 200;

const MONITOR_MILLISECONDS = 100;

/** Time between two rounds above which the process itself was paused. */
const PROCESS_PAUSE_MILLISECONDS = 3 * MONITOR_MILLISECONDS;

/** A silent target is checked once in this time, as each check opens a connection. */
const SILENCE_CHECK_INTERVAL_MILLISECONDS = 1_000;

/** Checks in each round of the monitor, so that their cost doesn't grow with the targets. */
const CHECKS_PER_ROUND = 8;

/** Instances asked about one target: enough that some are not cut off themselves. */
const ASKED_INSTANCES = 4;

/** Other targets to which a connection is tried when one refuses. */
const CONTROL_TARGETS = 2;

/** A request waits this long to learn whether its target or the path to it has failed. */
const VERDICT_WAIT_MILLISECONDS = 60;

/** Whether the failure of a connection is one of the target or of the path from here. */
export type PathVerdict = 'cut' | 'target-refuses' | 'unknown';

/** Dependencies of a {@link PathChecker}. */
export interface PathCheckerParts {
  readonly paths: TargetPaths;
  readonly peers: PathPeers;
  readonly directory: TargetDirectory;
  readonly loads: TargetLoads;
  /** Whether the targets of an availability zone may be gone, as operators have evacuated it. */
  readonly isEvacuated?: (availabilityZone: string) => boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly check?: typeof checkConnection;
}

/** Finds out whether a target or only the path to it has failed, and when the path works again. */
export class PathChecker {
  readonly #parts: PathCheckerParts;

  /** Checks under way, by incarnation. */
  readonly #verdicts = new Map<string, Promise<PathVerdict>>();

  /** Checks for other instances under way, by incarnation. */
  readonly #answers = new Map<string, Promise<ConnectionCheck>>();

  readonly #silenceCheckedAt = new Map<string, number>();

  /** Index of the next path to check for its restoration. */
  #nextProbe = 0;

  constructor(parts: PathCheckerParts) {
    this.#parts = parts;
  }

  /** Watches for silent targets, and for paths that work again. */
  get task(): ChildSpecification {
    return {
      name: 'target-paths',
      restart: 'always',
      run: async ({ signal, ready }) => {
        ready();
        let lastRound = performance.now();
        while (!signal.aborted) {
          await delay(MONITOR_MILLISECONDS, signal);
          const now = performance.now();
          const wasPaused = now - lastRound > PROCESS_PAUSE_MILLISECONDS;
          lastRound = now;
          // Bytes that arrived during a pause have not been read yet.
          if (!wasPaused) this.#checkSilentTargets(now);
          this.#probeCutPaths();
        }
      },
    };
  }

  /** Answers another instance whether this one reaches a target. */
  async answer(target: FleetTarget): Promise<ConnectionCheck> {
    if (this.#parts.paths.isCut(target)) return 'unknown';
    const key = getIncarnationKey(target);
    const answer =
      this.#answers.get(key) ??
      this.#checkAgainstOthers(target).finally(() => {
        this.#answers.delete(key);
      });
    this.#answers.set(key, answer);
    return answer;
  }

  /**
   * Tells whether a failed connection to a target means that the target or the path has failed;
   * `unknown` if no other instance can tell in time.
   */
  async explainFailure(target: FleetTarget, isRefused: boolean): Promise<PathVerdict> {
    if (this.#parts.paths.isCut(target)) return 'cut';
    const asked = this.#askOnce(target, isRefused);
    const verdict = await settleWithin<PathVerdict>(
      asked,
      VERDICT_WAIT_MILLISECONDS,
      () => 'unknown',
    );
    if (verdict !== 'unknown' || !isRefused) return verdict;
    return (await this.#reachesOther(target)) ? 'target-refuses' : 'unknown';
  }

  /** Checks a target after a run that was interrupted, wherever it was sent from. */
  async checkTarget(target: FleetTarget): Promise<ConnectionCheck> {
    const { paths, peers } = this.#parts;
    const result = paths.isCut(target) ? 'unknown' : await this.#checkAgainstOthers(target);
    if (result === 'accepted' || peers.names.length === 0) return result;
    const verdict = await this.#askOnce(target, result === 'refused');
    switch (verdict) {
      case 'cut':
        return 'unknown';
      case 'target-refuses':
        return 'refused';
      case 'unknown':
        return result;
    }
  }

  #checkSilentTargets(now: number): void {
    const { loads, paths, directory } = this.#parts;
    if (this.#parts.peers.names.length === 0) return;
    const isDirect = (targetId: string): boolean => {
      const target = directory.get(targetId);
      return target !== undefined && !paths.isCut(target);
    };
    const silentIds = findSilentTargets({
      busyTargets: loads.busyTargets.filter(({ targetId }) => isDirect(targetId)),
      lastByteMilliseconds: loads.getMillisecondsSinceByteFrom(isDirect),
      isAnyPathLost: paths.isAnyLost,
    });
    const due = silentIds.filter((targetId) => {
      const checkedAt = this.#silenceCheckedAt.get(targetId) ?? -Infinity;
      return now - checkedAt >= SILENCE_CHECK_INTERVAL_MILLISECONDS;
    });
    due.slice(0, CHECKS_PER_ROUND).forEach((targetId) => {
      this.#silenceCheckedAt.set(targetId, now);
      const target = directory.get(targetId);
      if (target) void this.#checkSilentTarget(target);
    });
    [...this.#silenceCheckedAt]
      .filter(([, checkedAt]) => now - checkedAt >= SILENCE_CHECK_INTERVAL_MILLISECONDS)
      .forEach(([targetId]) => this.#silenceCheckedAt.delete(targetId));
  }

  async #checkSilentTarget(target: FleetTarget): Promise<void> {
    const result = await this.#connect(target);
    this.#parts.metrics.increment('paths.silence-checks', 1, { result });
    this.#parts.logger.debug('paths.checked', { target: target.id, result });
    if (result !== 'accepted') await this.#askOnce(target, result === 'refused');
  }

  /** Checks some of the paths that are cut, in turn, so that targets are used again soon. */
  #probeCutPaths(): void {
    const targets = this.#parts.paths.cutTargets;
    if (targets.length === 0) return;
    const count = Math.min(CHECKS_PER_ROUND, targets.length);
    for (let index = 0; index < count; index += 1) {
      const target = targets[this.#nextProbe % targets.length];
      this.#nextProbe += 1;
      if (target) void this.#connect(target);
    }
  }

  /**
   * Checks a target. A refusal says nothing about it if other targets can't be reached, either: then
   * it is this instance that has just been cut off.
   */
  async #checkAgainstOthers(target: FleetTarget): Promise<ConnectionCheck> {
    const result = await this.#connect(target);
    if (result !== 'refused') return result;
    return (await this.#reachesOther(target)) ? 'refused' : 'unknown';
  }

  /** Whether a connection to some other target can be opened, or there is no other. */
  async #reachesOther(target: FleetTarget): Promise<boolean> {
    const { directory, paths, isEvacuated } = this.#parts;
    const others = directory.all.filter(
      (other) =>
        other.address !== target.address &&
        other.state === 'serving' &&
        !isEvacuated?.(other.availabilityZone),
    );
    if (others.length === 0) return true;
    const reachable = others.filter((other) => !paths.isCut(other));
    const first = this.#nextProbe % Math.max(1, reachable.length);
    this.#nextProbe += 1;
    const controls = [...reachable.slice(first), ...reachable.slice(0, first)];
    const results = await Promise.all(
      controls.slice(0, CONTROL_TARGETS).map((control) => this.#connect(control)),
    );
    return results.includes('accepted');
  }

  async #connect(target: FleetTarget): Promise<ConnectionCheck> {
    const check = this.#parts.check ?? checkConnection;
    const result = await check(target.address, CHECK_TIMEOUT_MILLISECONDS);
    if (result === 'accepted') this.#parts.paths.recordReached(target);
    return result;
  }

  /** Asks other instances, once for all failures at the same time. */
  #askOnce(target: FleetTarget, isRefused: boolean): Promise<PathVerdict> {
    const key = getIncarnationKey(target);
    const underWay = this.#verdicts.get(key);
    if (underWay) return underWay;
    const verdict = this.#ask(target, isRefused).finally(() => this.#verdicts.delete(key));
    this.#verdicts.set(key, verdict);
    return verdict;
  }

  async #ask(target: FleetTarget, isRefused: boolean): Promise<PathVerdict> {
    const { peers, paths, logger } = this.#parts;
    const names = rankInstances(getIncarnationKey(target), peers.names).slice(0, ASKED_INSTANCES);
    const isReached = new Deferred<boolean>();
    const results: (ConnectionCheck | undefined)[] = [];
    const asked = names.map(async (name) => {
      const result = await peers.checkTarget(name, target);
      results.push(result);
      if (result === 'accepted') isReached.resolve(true);
    });
    void Promise.all(asked).then(() => isReached.resolve(false));
    if (await isReached.promise) {
      paths.recordCut(target, isRefused ? 'refused' : 'timeout');
      return 'cut';
    }
    logger.info('paths.not-cut', {
      target: target.id,
      isRefused,
      asked: names.length,
      results: results.map((result) => result ?? 'none').join(' '),
    });
    return results.includes('refused') ? 'target-refuses' : 'unknown';
  }
}
