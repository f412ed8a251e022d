import type { KeyIdentity } from '@limpetnotch/admission';
import type { RouteSpec } from '@limpetnotch/declarations';
import type { Result } from 'neverthrow';
import type { Problem } from '../problems/problem';
import type { CallerRequest } from './callerRequest';

/** Caller on whose behalf a call runs. */
export type Caller =
  | { readonly kind: 'organisation'; readonly identity: KeyIdentity }
  /** An unauthenticated caller of an open route. */
  | { readonly kind: 'anyone' };

/** A request header from which credentials have been removed. */
export interface SanitisedHeader {
  readonly name: string;
  readonly value: string;
}

/** An admitted call, without the caller's credentials. */
export interface AdmittedCall {
  readonly caller: Caller;
  readonly routeName: string;
  readonly route: RouteSpec;
  readonly pathAndQuery: string;
  readonly headers: readonly SanitisedHeader[];
}

/** Checks the key and the route of a request. */
export interface Admission {
  /** Admits a request or returns the problem that refuses it; a refused request did not run. */
  admit(request: CallerRequest): Result<AdmittedCall, Problem>;
  /** Checks only the key, for requests that read or end programs. */
  identify(rawHeaders: readonly string[]): Result<Caller, Problem>;
  /** Whether a key that passed an earlier check is still valid. */
  isInForce(identity: KeyIdentity): boolean;
}
