import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ColdBounds } from '@limpetnotch/scheduling';
import { computeColdRate } from '@limpetnotch/scheduling';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetDirectory } from '../targets/targetDirectory';
import { getIncarnationKey } from '../targets/getIncarnationKey';
import type { ColdCause, ColdChange, ColdTarget, ColdTargets } from './coldTargets';
import type { LimitKnowledge } from './limitKnowledge';
import type { LimitChange, LimitSource, TargetLimitState } from './targetLimitState';
import type { TargetLimits } from './targetLimits';

type Limited = Extract<TargetLimitState, { kind: 'limited' }>;

const COLD_KEY_PREFIX = 'cold/';

/**
 * Messages between instances hold the age of a limit, not its end. The age of a cold target's limit
 * is chosen such that it ends at this age at every instance. One that is cold for longer is reported
 * again with the next comparison.
 */
const COLD_HORIZON_MILLISECONDS = 10_000;

/** Dependencies of {@link LimitsInForce}. */
export interface LimitsInForceParts {
  readonly named: TargetLimits;
  readonly coldTargets: ColdTargets;
  readonly targets: Pick<TargetDirectory, 'get'>;
  readonly bounds: ColdBounds;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * The limits that targets name, and those of cold targets. While a target is cold, the smaller one
 * applies, and its tokens are handed out under a key of their own without a burst: what a response
 * says can't end them, and instances with different knowledge of named limits share one rate.
 */
export class LimitsInForce implements LimitKnowledge {
  readonly #parts: LimitsInForceParts;

  #listener: (change: LimitChange) => void = () => undefined;

  constructor(parts: LimitsInForceParts) {
    this.#parts = parts;
    parts.coldTargets.onChange((change) => this.#recordCold(change));
  }

  /** Returns the key under which tokens for a cold target are handed out. */
  static toColdKey(targetId: string): string {
    return `${COLD_KEY_PREFIX}${targetId}`;
  }

  /** Whether a key is that of a cold target. */
  static isColdKey(key: string): boolean {
    return key.startsWith(COLD_KEY_PREFIX);
  }

  get isAnyLimited(): boolean {
    return this.#parts.named.isAnyLimited || this.#parts.coldTargets.isAny;
  }

  get limited(): ReadonlyMap<string, Limited> {
    const { named, coldTargets } = this.#parts;
    if (!coldTargets.isAny) return named.limited;
    return new Map([
      ...named.limited,
      ...[...coldTargets.all].map(
        ([id, cold]) => [LimitsInForce.toColdKey(id), this.#toLimit(id, cold)] as const,
      ),
    ]);
  }

  keyOf(target: FleetTarget): string {
    return this.#parts.coldTargets.get(target.id)
      ? LimitsInForce.toColdKey(target.id)
      : getIncarnationKey(target);
  }

  isNamedBy(target: FleetTarget): boolean {
    return this.#parts.named.isNamedBy(target);
  }

  get(key: string): TargetLimitState | undefined {
    return LimitsInForce.isColdKey(key) ? this.getLimit(key) : this.#parts.named.get(key);
  }

  getLimit(key: string): Limited | undefined {
    if (!LimitsInForce.isColdKey(key)) return this.#parts.named.getLimit(key);
    const id = LimitsInForce.#toTargetId(key);
    const cold = this.#parts.coldTargets.get(id);
    return cold && this.#toLimit(id, cold);
  }

  merge(key: string, state: TargetLimitState): void {
    const { named, coldTargets } = this.#parts;
    if (!LimitsInForce.isColdKey(key)) {
      named.merge(key, state);
      return;
    }
    if (state.kind !== 'limited') return;
    coldTargets.report(LimitsInForce.#toTargetId(key), {
      untilMilliseconds: state.observedAtMilliseconds + COLD_HORIZON_MILLISECONDS,
      requestsPerSecond: state.requestsPerSecond,
    });
  }

  mergeRequested(key: string, state: TargetLimitState): TargetLimitState | undefined {
    if (!LimitsInForce.isColdKey(key)) return this.#parts.named.mergeRequested(key, state);
    if (state.kind !== 'limited') return this.getLimit(key);
    // A requester may know of a cold target, or of a smaller limit, earlier than this instance.
    const known = this.getLimit(key);
    const requestsPerSecond = Math.min(
      state.requestsPerSecond,
      known?.requestsPerSecond ?? Infinity,
    );
    return { ...(known ?? state), requestsPerSecond, burst: 0 };
  }

  onChange(listener: (change: LimitChange) => void): void {
    this.#parts.named.onChange(listener);
    this.#listener = listener;
  }

  /** Returns the limit of a cold target: the smaller one of its rate and what it names itself. */
  #toLimit(id: string, { untilMilliseconds, requestsPerSecond }: ColdTarget): Limited {
    const { named, targets, bounds } = this.#parts;
    const target = targets.get(id);
    const namedLimit = target && named.getLimit(getIncarnationKey(target));
    const observedAtMilliseconds = untilMilliseconds - COLD_HORIZON_MILLISECONDS;
    return {
      kind: 'limited',
      requestsPerSecond: Math.min(
        computeColdRate(requestsPerSecond, bounds),
        namedLimit?.requestsPerSecond ?? Infinity,
      ),
      observedAtMilliseconds,
      learnedAtMilliseconds: observedAtMilliseconds,
      burst: 0,
    };
  }

  #recordCold({ targetId, cold, cause }: ColdChange): void {
    const { logger, metrics } = this.#parts;
    const state = this.#toLimit(targetId, cold);
    metrics.increment('targets.cold', 1, { cause });
    logger.info('targets.cold', {
      target: targetId,
      cause,
      remainingMilliseconds: Math.round(cold.untilMilliseconds - performance.now()),
      perSecond: state.requestsPerSecond,
    });
    const source = LimitsInForce.#toSource(cause);
    if (!source) return;
    const incarnationKey = LimitsInForce.toColdKey(targetId);
    this.#listener({ incarnationKey, state, source, isFirst: true });
  }

  /** Returns how other instances are to learn of a cold target; undefined if they are not. */
  static #toSource(cause: ColdCause): LimitSource | undefined {
    switch (cause) {
      case 'announced':
      case 'started':
        return 'announcement';
      case 'refused':
        return 'response';
      case 'peer':
        return 'peer';
      case 'listed':
        // After its start, an instance may read announcements that are older than it is.
        return undefined;
    }
  }

  static #toTargetId(key: string): string {
    return key.slice(COLD_KEY_PREFIX.length);
  }
}
