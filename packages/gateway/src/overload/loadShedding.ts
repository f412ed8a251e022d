import type { Metrics } from '@limpetnotch/observability';
import { ReturnSchedule } from '@limpetnotch/scheduling';
import type { CallEnvelope } from '../calls/callEnvelope';
import { isMainLineTurn } from '../calls/isMainLineTurn';
import { RecentRate } from '../limits/recentRate';
import { LEAST_REFUSED_WAIT_MILLISECONDS, mayAdmitUnderLoad } from './mayAdmitUnderLoad';
import type { IngressLoad } from './ingressLoad';

/** Time over which the rate of served requests is averaged. */
const AVERAGE_MILLISECONDS = 500;

/** Patience of a caller that does not state it. */
const DEFAULT_PATIENCE_MILLISECONDS = 1_000;

/** Share of its patience that a caller waits before it sends a refused request again. */
const RETURN_SHARE = 1 / 3;

const MILLISECONDS_PER_SECOND = 1_000;

/** Decision on a request, with what decided it. */
export type SheddingDecision =
  | { readonly kind: 'admitted' }
  | {
      readonly kind: 'refused';
      readonly retryAfterSeconds: number;
      readonly waitMilliseconds: number;
      readonly isProgramStart: boolean;
    };

/** Parts of a {@link LoadShedding}. */
export interface LoadSheddingParts {
  readonly load: Pick<IngressLoad, 'waitMilliseconds'>;
  /** Whether a turn of the program may have been served by any instance. */
  readonly mayHaveStarted: (programKey: string) => boolean;
  readonly metrics: Metrics;
  readonly random?: () => number;
}

/** Refuses requests while connections wait too long until this instance accepts them. */
export class LoadShedding {
  readonly #parts: LoadSheddingParts;

  readonly #returns: ReturnSchedule;

  readonly #served = new RecentRate(AVERAGE_MILLISECONDS);

  constructor(parts: LoadSheddingParts) {
    this.#parts = parts;
    this.#returns = new ReturnSchedule(parts.random);
  }

  /** Whether requests may have to be refused. */
  get isActive(): boolean {
    return this.#parts.load.waitMilliseconds > LEAST_REFUSED_WAIT_MILLISECONDS;
  }

  /** Records a request that was served. */
  recordServed(): void {
    this.#served.add(1);
  }

  /** Decides on a request with this key of its program. */
  admit(envelope: CallEnvelope, programKey: string): SheddingDecision {
    const { load, mayHaveStarted, metrics } = this.#parts;
    const { waitMilliseconds } = load;
    const isProgramStart = isMainLineTurn(envelope) && !mayHaveStarted(programKey);
    const { patienceMilliseconds = DEFAULT_PATIENCE_MILLISECONDS } = envelope;
    if (mayAdmitUnderLoad({ waitMilliseconds, patienceMilliseconds, isProgramStart })) {
      return { kind: 'admitted' };
    }
    metrics.increment('ingress.shed-requests', 1, { start: String(isProgramStart) });
    const retryAfterSeconds = this.#chooseReturnSeconds(patienceMilliseconds);
    return { kind: 'refused', retryAfterSeconds, waitMilliseconds, isProgramStart };
  }

  /**
   * The only instance of an availability zone gets its callers back, so they return one after the
   * other, at the rate at which requests are served.
   */
  #chooseReturnSeconds(patienceMilliseconds: number): number {
    const milliseconds = this.#returns.next({
      nowMilliseconds: performance.now(),
      requestsPerSecond: (this.#served.sum * MILLISECONDS_PER_SECOND) / AVERAGE_MILLISECONDS,
      waitingRequests: 0,
      longestMilliseconds: patienceMilliseconds * RETURN_SHARE,
    });
    return milliseconds / MILLISECONDS_PER_SECOND;
  }
}
