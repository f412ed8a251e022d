import type { Logger, Metrics } from '@limpetnotch/observability';
import type { NamedLimit } from '../calls/wireCodec';
import type { FleetTarget } from '../targets/fleetTarget';
import { getIncarnationKey } from '../targets/getIncarnationKey';
import type { LimitBelief, LimitChange, LimitSource } from './limitBelief';

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

/** Dependencies of {@link LimitBeliefs}. */
export interface LimitBeliefsParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type Limited = Extract<LimitBelief, { kind: 'limited' }>;

/**
 * Limits that targets name in their responses, by incarnation: a restarted target has none until it
 * names one. Responses on different connections may overtake each other, so one to a request that
 * was sent before the limit was learned can lower the limit, but not raise or end it.
 */
export class LimitBeliefs {
  readonly #parts: LimitBeliefsParts;

  readonly #beliefs = new Map<string, LimitBelief>();

  #limitedCount = 0;

  readonly #malformedTexts = new Map<string, string>();

  readonly #changesLoggedAt = new Map<string, number>();

  #listener: (change: LimitChange) => void = () => undefined;

  constructor(parts: LimitBeliefsParts) {
    this.#parts = parts;
  }

  /** Sets the listener that is called when a limit is learned, changed or ended. */
  onChange(listener: (change: LimitChange) => void): void {
    this.#listener = listener;
  }

  /** Returns what is known about the limit of an incarnation; undefined if nothing is. */
  get(incarnationKey: string): LimitBelief | undefined {
    return this.#beliefs.get(incarnationKey);
  }

  /** Returns the limit in force for an incarnation; undefined if there is none. */
  getLimit(incarnationKey: string): Limited | undefined {
    const belief = this.#beliefs.get(incarnationKey);
    return belief?.kind === 'limited' ? belief : undefined;
  }

  /** Whether any limit is in force. */
  get isAnyLimited(): boolean {
    return this.#limitedCount > 0;
  }

  /** Incarnations with a limit in force. */
  get limited(): ReadonlyMap<string, Limited> {
    return new Map(
      [...this.#beliefs].flatMap(([key, belief]) =>
        belief.kind === 'limited' ? [[key, belief] as const] : [],
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
  merge(incarnationKey: string, belief: LimitBelief): void {
    const current = this.#beliefs.get(incarnationKey);
    if (current && current.observedAtMilliseconds >= belief.observedAtMilliseconds) return;
    this.#set(incarnationKey, belief, 'peer', undefined);
  }

  /** Forgets incarnations that are no longer known. */
  retain(isKnown: (incarnationKey: string) => boolean): void {
    [this.#beliefs, this.#malformedTexts, this.#changesLoggedAt].forEach((map) =>
      [...map.keys()].filter((key) => !isKnown(key)).forEach((key) => map.delete(key)),
    );
    this.#limitedCount = this.limited.size;
  }

  #observeLimit(
    incarnationKey: string,
    requestsPerSecond: number,
    { sentAtMilliseconds, request }: LimitObservation,
  ): void {
    const current = this.#beliefs.get(incarnationKey);
    const now = performance.now();
    const belief: LimitBelief = {
      kind: 'limited',
      requestsPerSecond,
      observedAtMilliseconds: now,
      learnedAtMilliseconds: now,
    };
    const isRaise = current?.kind === 'limited' && requestsPerSecond > current.requestsPerSecond;
    if (isRaise && sentAtMilliseconds <= current.learnedAtMilliseconds) return;
    this.#set(incarnationKey, belief, 'response', request);
  }

  #observeNone(
    incarnationKey: string,
    { isSigned, sentAtMilliseconds, request }: LimitObservation,
  ): void {
    const current = this.getLimit(incarnationKey);
    if (!current || !isSigned || sentAtMilliseconds <= current.learnedAtMilliseconds) return;
    const belief: LimitBelief = { kind: 'ended', observedAtMilliseconds: performance.now() };
    this.#set(incarnationKey, belief, 'response', request);
  }

  #set(
    incarnationKey: string,
    belief: LimitBelief,
    source: LimitSource,
    request: string | undefined,
  ): void {
    const previous = this.#beliefs.get(incarnationKey);
    const isUnchanged =
      previous?.kind === 'limited' &&
      belief.kind === 'limited' &&
      previous.requestsPerSecond === belief.requestsPerSecond;
    if (isUnchanged) {
      const { observedAtMilliseconds } = belief;
      this.#beliefs.set(incarnationKey, { ...previous, observedAtMilliseconds });
      return;
    }
    this.#beliefs.set(incarnationKey, belief);
    this.#limitedCount = this.limited.size;
    if (belief.kind === 'ended' && previous?.kind !== 'limited') return;
    const isFirst = previous?.kind !== 'limited';
    this.#logChange(incarnationKey, belief, { source, request, previous });
    this.#listener({ incarnationKey, belief, source, isFirst });
  }

  #logChange(
    incarnationKey: string,
    belief: LimitBelief,
    {
      source,
      request,
      previous,
    }: {
      readonly source: LimitSource;
      readonly request: string | undefined;
      readonly previous: LimitBelief | undefined;
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
      ageMilliseconds: Math.round(now - belief.observedAtMilliseconds),
    };
    if (belief.kind === 'ended') {
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
      perSecond: belief.requestsPerSecond,
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
