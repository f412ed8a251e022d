import type { Logger, Metrics } from '@limpetnotch/observability';
import type { NamedLimit } from '../calls/wireCodec';
import type { FleetTarget } from '../targets/fleetTarget';
import { getIncarnationKey } from '../targets/getIncarnationKey';
import type { TargetLimitState, LimitChange, LimitSource } from './targetLimitState';

/** Changed values of one target are logged at most this often. */
const CHANGE_LOG_INTERVAL_MILLISECONDS = 1_000;

/** A response of a target, as far as it concerns the target's limit. */
export interface LimitObservation {
  readonly target: FleetTarget;
  readonly namedLimit: NamedLimit;
  /** Whether the target ran the request, so that a missing limit means that there is none. */
  readonly isSigned: boolean;
  /** Identifier of the request. */
  readonly request: string;
  /** When the request was sent, by `performance.now()`. */
  readonly sentAtMilliseconds: number;
}

/** Dependencies of {@link TargetLimits}. */
export interface TargetLimitsParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type Limited = Extract<TargetLimitState, { kind: 'limited' }>;

/**
 * Limits that targets name in their responses, by incarnation: a restarted target has none until it
 * names one. Responses on different connections may overtake each other, so one to a request that
 * was sent before the limit was learned can lower the limit, but not raise or end it.
 */
export class TargetLimits {
  readonly #parts: TargetLimitsParts;

  readonly #states = new Map<string, TargetLimitState>();

  #limitedCount = 0;

  readonly #malformedTexts = new Map<string, string>();

  readonly #changesLoggedAt = new Map<string, number>();

  #listener: (change: LimitChange) => void = () => undefined;

  constructor(parts: TargetLimitsParts) {
    this.#parts = parts;
  }

  /** Sets the listener that is called when a limit is learned, changed or ended. */
  onChange(listener: (change: LimitChange) => void): void {
    this.#listener = listener;
  }

  /** Returns what is known about the limit of an incarnation; undefined if nothing is. */
  get(incarnationKey: string): TargetLimitState | undefined {
    return this.#states.get(incarnationKey);
  }

  /** Returns the limit in force for an incarnation; undefined if there is none. */
  getLimit(incarnationKey: string): Limited | undefined {
    const state = this.#states.get(incarnationKey);
    return state?.kind === 'limited' ? state : undefined;
  }

  /** Returns the key under which tokens for a target are handed out. */
  keyOf(target: FleetTarget): string {
    return getIncarnationKey(target);
  }

  /** Whether a target itself names a limit. */
  isNamedBy(target: FleetTarget): boolean {
    return this.getLimit(getIncarnationKey(target)) !== undefined;
  }

  /** Merges what another instance knows that requests tokens; returns what applies then. */
  mergeRequested(incarnationKey: string, state: TargetLimitState): TargetLimitState | undefined {
    this.merge(incarnationKey, state);
    return this.get(incarnationKey);
  }

  /** Whether any limit is in force. */
  get isAnyLimited(): boolean {
    return this.#limitedCount > 0;
  }

  /** Incarnations with a limit in force. */
  get limited(): ReadonlyMap<string, Limited> {
    return new Map(
      [...this.#states].flatMap(([key, state]) =>
        state.kind === 'limited' ? [[key, state] as const] : [],
      ),
    );
  }

  /** Evaluates a response of a target. */
  observe(observation: LimitObservation): void {
    const { target, namedLimit, request } = observation;
    const incarnationKey = getIncarnationKey(target);
    switch (namedLimit.kind) {
      case 'limited':
        this.#observeLimit(incarnationKey, namedLimit.requestsPerSecond, observation);
        break;
      case 'none':
        this.#observeNone(incarnationKey, observation);
        break;
      case 'malformed':
        this.#logMalformed(incarnationKey, namedLimit.text, request);
        break;
    }
  }

  /** Applies what another instance knows, unless this instance knows something newer. */
  merge(incarnationKey: string, state: TargetLimitState): void {
    const current = this.#states.get(incarnationKey);
    if (current && current.observedAtMilliseconds >= state.observedAtMilliseconds) return;
    this.#set(incarnationKey, state, 'peer', undefined);
  }

  /** Forgets incarnations that are no longer known. */
  retain(isKnown: (incarnationKey: string) => boolean): void {
    [this.#states, this.#malformedTexts, this.#changesLoggedAt].forEach((map) =>
      [...map.keys()].filter((key) => !isKnown(key)).forEach((key) => map.delete(key)),
    );
    this.#limitedCount = this.limited.size;
  }

  #observeLimit(
    incarnationKey: string,
    requestsPerSecond: number,
    { sentAtMilliseconds, request }: LimitObservation,
  ): void {
    const current = this.#states.get(incarnationKey);
    const now = performance.now();
    const state: TargetLimitState = {
      kind: 'limited',
      requestsPerSecond,
      observedAtMilliseconds: now,
      learnedAtMilliseconds: now,
    };
    const isRaise = current?.kind === 'limited' && requestsPerSecond > current.requestsPerSecond;
    if (isRaise && sentAtMilliseconds <= current.learnedAtMilliseconds) return;
    this.#set(incarnationKey, state, 'response', request);
  }

  #observeNone(
    incarnationKey: string,
    { isSigned, sentAtMilliseconds, request }: LimitObservation,
  ): void {
    const current = this.getLimit(incarnationKey);
    if (!current || !isSigned || sentAtMilliseconds <= current.learnedAtMilliseconds) return;
    const state: TargetLimitState = { kind: 'ended', observedAtMilliseconds: performance.now() };
    this.#set(incarnationKey, state, 'response', request);
  }

  #set(
    incarnationKey: string,
    state: TargetLimitState,
    source: LimitSource,
    request: string | undefined,
  ): void {
    const previous = this.#states.get(incarnationKey);
    const isUnchanged =
      previous?.kind === 'limited' &&
      state.kind === 'limited' &&
      previous.requestsPerSecond === state.requestsPerSecond;
    if (isUnchanged) {
      const { observedAtMilliseconds } = state;
      this.#states.set(incarnationKey, { ...previous, observedAtMilliseconds });
      return;
    }
    this.#states.set(incarnationKey, state);
    this.#limitedCount = this.limited.size;
    if (state.kind === 'ended' && previous?.kind !== 'limited') return;
    const isFirst = previous?.kind !== 'limited';
    this.#logChange(incarnationKey, state, { source, request, previous });
    this.#listener({ incarnationKey, state, source, isFirst });
  }

  #logChange(
    incarnationKey: string,
    state: TargetLimitState,
    {
      source,
      request,
      previous,
    }: {
      readonly source: LimitSource;
      readonly request: string | undefined;
      readonly previous: TargetLimitState | undefined;
    },
  ): void {
    const { logger, metrics } = this.#parts;
    const wasLimited = previous?.kind === 'limited';
    const now = performance.now();
    const common = {
      target: incarnationKey,
      previousPerSecond: wasLimited ? previous.requestsPerSecond : undefined,
      source,
      request,
      ageMilliseconds: Math.round(now - state.observedAtMilliseconds),
    };
    if (state.kind === 'ended') {
      metrics.increment('limits.changes', 1, { change: 'ended' });
      logger.info('limits.ended', common);
      return;
    }
    metrics.increment('limits.changes', 1, { change: wasLimited ? 'changed' : 'learned' });
    const loggedAt = this.#changesLoggedAt.get(incarnationKey) ?? -Infinity;
    if (wasLimited && now - loggedAt < CHANGE_LOG_INTERVAL_MILLISECONDS) return;
    if (wasLimited) this.#changesLoggedAt.set(incarnationKey, now);
    logger.info(wasLimited ? 'limits.changed' : 'limits.learned', {
      ...common,
      perSecond: state.requestsPerSecond,
    });
  }

  /** Logs a value that can't be read; the limit in force stays. */
  #logMalformed(incarnationKey: string, text: string, request: string): void {
    this.#parts.metrics.increment('limits.malformed');
    if (this.#malformedTexts.get(incarnationKey) === text) return;
    this.#malformedTexts.set(incarnationKey, text);
    this.#parts.logger.warn('limits.malformed', {
      target: incarnationKey,
      request,
      value: text,
      perSecond: this.getLimit(incarnationKey)?.requestsPerSecond,
    });
  }
}
