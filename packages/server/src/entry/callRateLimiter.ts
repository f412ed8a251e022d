import type { RateLimiter } from '@limpetnotch/admission';
import { SourceLimiter } from '@limpetnotch/admission';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Problem } from '../problems/problem';
import { toAdmissionProblem } from './toAdmissionProblem';
import type { AdmittedCall } from './admittedCall';

/** Limits calls to the rate of their organisation, or of their source on open routes. */
export class CallRateLimiter {
  readonly #limiter: RateLimiter;

  readonly #sourceLimiter = new SourceLimiter();

  constructor(limiter: RateLimiter) {
    this.#limiter = limiter;
  }

  /** Admits a call, possibly after a short wait, or refuses it; a refused call did not run. */
  async acquire(
    { caller, route, routeName }: AdmittedCall,
    source: string,
    signal: AbortSignal,
  ): Promise<Result<void, Problem>> {
    if (caller.kind === 'organisation') {
      const acquired = await this.#limiter.acquire(caller.identity.organisation, signal);
      return acquired.mapErr(toAdmissionProblem);
    }
    if (route.access.kind !== 'open') return ok(undefined);
    const { sourceLimit } = route.access;
    return this.#sourceLimiter.acquire(routeName, source, sourceLimit).mapErr(toAdmissionProblem);
  }
}
