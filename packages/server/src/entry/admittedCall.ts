import type { KeyIdentity } from '@limpetnotch/admission';
import type { RouteSpec } from '@limpetnotch/declarations';
import type { Result } from 'neverthrow';
import type { Problem } from '../problems/problem';
import type { CallerRequest } from './callerRequest';

/** Whom a call runs for. */
export type Caller =
  | { readonly kind: 'organisation'; readonly identity: KeyIdentity }
  /** A caller of a route that is open to all. */
  | { readonly kind: 'anyone' };

/** A header without credentials. */
export interface CleanHeader {
  readonly name: string;
  readonly value: string;
}

/** A call that was let in, without the caller's credentials. */
export interface AdmittedCall {
  readonly caller: Caller;
  readonly routeName: string;
  readonly route: RouteSpec;
  readonly pathAndQuery: string;
  readonly headers: readonly CleanHeader[];
}

/** Checks key and route of a request. */
export interface Admission {
  /** Lets a request in, or says why not; a refused request did not run. */
  admit(request: CallerRequest): Result<AdmittedCall, Problem>;
  /** Checks the key alone, for requests about programs. */
  identify(rawHeaders: readonly string[]): Result<Caller, Problem>;
  /** Whether a key that was checked earlier is still in force. */
  isInForce(identity: KeyIdentity): boolean;
}
