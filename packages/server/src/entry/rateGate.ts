import type { RateLimiter } from '@limpetnotch/admission';
import { SourceLimiter } from '@limpetnotch/admission';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Problem } from '../problems/problem';
import { admissionProblem } from './admissionProblem';
import type { AdmittedCall } from './admittedCall';

/** Holds calls to the rate of their organisation, or of their source on routes open to all. */
export class RateGate {
  readonly #limiter: RateLimiter;

  readonly #sources = new SourceLimiter();

  constructor(limiter: RateLimiter) {
    this.#limiter = limiter;
  }

  /** Lets a call pass, perhaps after a moment, or refuses it; a refused call did not run. */
  async pass(
    { caller, route, routeName }: AdmittedCall,
    source: string,
    signal: AbortSignal,
  ): Promise<Result<void, Problem>> {
    if (caller.kind === 'organisation') {
      const acquired = await this.#limiter.acquire(caller.identity.organisation, signal);
      return acquired.mapErr(admissionProblem);
    }
    if (route.access.kind !== 'open') return ok(undefined);
    const { sourceLimit } = route.access;
    return this.#sources.acquire(routeName, source, sourceLimit).mapErr(admissionProblem);
  }
}
