import type { Logger, Metrics } from '@limpetnotch/observability';
import type { BackoffBounds } from '@limpetnotch/store';
import { computeBackoffMilliseconds } from '@limpetnotch/store';
import { Deferred, delay } from '@limpetnotch/supervision';
import { computeEvidenceTime } from './decisions/computeEvidenceTime';
import type { ObservedPrefix } from './observedPrefix';
import type { RelayMessage } from './relayMessage';
import type { RelaySource } from './relaySource';

/** Longest wait for the first message of a reader, and for each further one. */
const FIRST_MESSAGE_MILLISECONDS = 400;
const SILENCE_MILLISECONDS = 1_150;

/**
 * Time after which a stream is started again: with the preferred reader, and with a new start of the
 * elapsed time, so that the drift of the clocks stays below some milliseconds.
 */
const RENEWAL_MILLISECONDS = 30_000;

/**
 * Wait after a round in which no reader relayed anything. While the store is down, each round of
 * each instance is some calls in vain, and the instance reads the store itself in any case.
 */
const RETRY_BOUNDS: BackoffBounds = { firstMilliseconds: 300, maximumMilliseconds: 1_500 };

/** How a stream ended. */
type StreamEnd = 'renewed' | 'not-needed' | 'silent' | 'stale' | 'ended' | 'failed';

/** Prefixes as they were when a stream began, which continues what was known of them then. */
type FollowedPrefixes = ReadonlyMap<
  string,
  { readonly observed: ObservedPrefix; readonly resets: number }
>;

/** Parts of a {@link RelayFollower}. */
export interface RelayFollowerParts {
  readonly source: RelaySource;
  readonly prefixes: ReadonlyMap<string, ObservedPrefix>;
  /** Readers in the order in which they are tried, after a number of rounds in vain. */
  readonly readers: (failedRounds: number) => readonly string[];
  /** Whether this instance needs what others relay. */
  readonly isNeeded: () => boolean;
  /** Called after each message. */
  readonly onMessage: () => void;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Follows what one reader relays, and changes to the next one when it is silent or out of date. */
export class RelayFollower {
  readonly #parts: RelayFollowerParts;

  #wake = new Deferred();

  #failedRounds = 0;

  /** Whether the stream at hand has brought something recent. */
  #hasRelayed = false;

  constructor(parts: RelayFollowerParts) {
    this.#parts = parts;
  }

  /** Records that the readers, or the need for them, may have changed. */
  notify(): void {
    this.#wake.resolve(undefined);
    this.#wake = new Deferred();
  }

  /** Follows readers, as far as they are needed, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const end = await this.#followFirst(signal);
      if (signal.aborted) return;
      if (end !== 'renewed') await this.#pause(signal);
    }
  }

  /** Waits until the readers or the need change, or, after a round in vain, for a while. */
  async #pause(signal: AbortSignal): Promise<void> {
    const isNeeded = this.#parts.isNeeded();
    const milliseconds = isNeeded
      ? computeBackoffMilliseconds(this.#failedRounds, RETRY_BOUNDS)
      : RENEWAL_MILLISECONDS;
    this.#failedRounds = isNeeded ? this.#failedRounds + 1 : 0;
    await this.#wait(milliseconds, signal);
  }

  /** Tries the readers in turn; returns how the last stream ended. */
  async #followFirst(signal: AbortSignal): Promise<StreamEnd> {
    let end: StreamEnd = 'not-needed';
    for (const reader of this.#parts.readers(this.#failedRounds)) {
      if (signal.aborted || !this.#parts.isNeeded()) return 'not-needed';
      end = await this.#followOn(reader, signal);
      this.#parts.metrics.increment('observation.stream-ends', 1, { reason: end });
      if (end === 'renewed' || end === 'not-needed') return end;
    }
    return end;
  }

  /** Follows a reader for as long as it relays and is the preferred one. */
  async #followOn(reader: string, signal: AbortSignal): Promise<StreamEnd> {
    let end: StreamEnd;
    do {
      this.#hasRelayed = false;
      end = await this.#follow(reader, signal);
    } while (end === 'renewed' && this.#parts.readers(0)[0] === reader);
    const fields = { peer: reader, reason: end };
    if (this.#hasRelayed) this.#parts.logger.info('observation.stream-ended', fields);
    else this.#parts.logger.debug('observation.stream-ended', fields);
    return end;
  }

  async #follow(reader: string, signal: AbortSignal): Promise<StreamEnd> {
    const attempt = new AbortController();
    const abort = (): void => attempt.abort();
    signal.addEventListener('abort', abort, { once: true });
    try {
      return await this.#consume(reader, attempt.signal);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.#parts.logger.debug('observation.stream-failed', { peer: reader, detail });
      return 'failed';
    } finally {
      attempt.abort();
      signal.removeEventListener('abort', abort);
    }
  }

  async #consume(reader: string, signal: AbortSignal): Promise<StreamEnd> {
    const askedAtMilliseconds = performance.now();
    const followed: FollowedPrefixes = new Map(
      [...this.#parts.prefixes].map(([prefix, observed]) => [
        prefix,
        { observed, resets: observed.resets },
      ]),
    );
    const known = [...followed].map(([prefix, { observed }]) => ({
      prefix,
      revision: observed.view.revision,
    }));
    const messages = this.#parts.source.observe(reader, known, signal)[Symbol.asyncIterator]();
    const aborted = new Deferred<'aborted'>();
    signal.addEventListener('abort', () => aborted.resolve('aborted'), { once: true });
    let limitMilliseconds = FIRST_MESSAGE_MILLISECONDS;
    for (;;) {
      const next = await this.#takeWithin(messages, limitMilliseconds, aborted.promise);
      if (next === 'silent') return 'silent';
      if (next === 'aborted') return 'not-needed';
      if (next.done) return 'ended';
      const isCurrent = this.#apply(next.value, askedAtMilliseconds, followed);
      this.#parts.onMessage();
      if (!isCurrent) return 'stale';
      this.#hasRelayed = true;
      this.#failedRounds = 0;
      if (!this.#parts.isNeeded()) return 'not-needed';
      if (performance.now() - askedAtMilliseconds > RENEWAL_MILLISECONDS) return 'renewed';
      limitMilliseconds = SILENCE_MILLISECONDS;
    }
  }

  async #takeWithin(
    messages: AsyncIterator<RelayMessage>,
    limitMilliseconds: number,
    aborted: Promise<'aborted'>,
  ): Promise<IteratorResult<RelayMessage> | 'silent' | 'aborted'> {
    const waiting = new AbortController();
    const silent = delay(limitMilliseconds, waiting.signal).then((): 'silent' => 'silent');
    const next = messages.next();
    next.catch(() => undefined);
    try {
      return await Promise.race([next, silent, aborted]);
    } finally {
      waiting.abort();
    }
  }

  /** Applies a message; returns whether all that it says is recent enough. */
  #apply(message: RelayMessage, askedAtMilliseconds: number, followed: FollowedPrefixes): boolean {
    const now = performance.now();
    return message.updates.every((update) => {
      const { observed, resets } = followed.get(update.prefix) ?? {};
      if (!observed) return true;
      if (observed.resets !== resets) return false;
      const evidenceAt = computeEvidenceTime(askedAtMilliseconds, message, update);
      observed.applyUpdate(update, evidenceAt);
      return now - evidenceAt < observed.limits.trustMilliseconds;
    });
  }

  async #wait(milliseconds: number, signal: AbortSignal): Promise<void> {
    const waiting = new AbortController();
    const abort = (): void => waiting.abort();
    signal.addEventListener('abort', abort, { once: true });
    const pause = delay(milliseconds, waiting.signal);
    await Promise.race([this.#wake.promise, pause]);
    abort();
    signal.removeEventListener('abort', abort);
  }
}
