import { createHash, timingSafeEqual } from 'node:crypto';
import type { Configuration, RouteSpec } from '@limpetnotch/declarations';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Problem } from '../problems/problem';
import type { Admission, AdmittedCall, Caller } from './admittedCall';
import type { CallerRequest } from './callerRequest';
import { headersOf } from './callerRequest';

const digestOf = (secret: string): string =>
  `sha256:${createHash('sha256').update(secret).digest('hex')}`;

const equal = (left: string, right: string): boolean =>
  left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));

const refuse = (problem: Problem['problem'], detail: string): Result<never, Problem> =>
  err({ problem, detail, executed: 'no' });

/** Lets requests in by the declared keys and routes. */
export class DeclaredAdmission implements Admission {
  readonly #configuration: () => Configuration;

  constructor(configuration: () => Configuration) {
    this.#configuration = configuration;
  }

  async admit(request: CallerRequest): Promise<Result<AdmittedCall, Problem>> {
    const [path = '/'] = request.pathAndQuery.split('?', 1);
    const found = this.#route(path);
    if (!found) return refuse('route-not-found', `no route for ${path}`);
    const [routeName, route] = found;
    const caller: Result<Caller, Problem> =
      route.access.kind === 'open' ? ok({ kind: 'anyone' }) : this.identify(request.rawHeaders);
    return Promise.resolve(
      caller.map((value) => ({
        caller: value,
        routeName,
        route,
        pathAndQuery: request.pathAndQuery,
        headers: Object.entries(headersOf(request.rawHeaders)).map(([name, value_]) => ({
          name,
          value: value_,
        })),
      })),
    );
  }

  identify(rawHeaders: readonly string[]): Result<Caller, Problem> {
    const secret = headersOf(rawHeaders).authorization?.replace(/^Bearer /i, '');
    if (!secret) return refuse('key-missing', 'send the key as a bearer token');
    const digest = digestOf(secret);
    const match = [...this.#configuration().keys].find(([, key]) => equal(key.digest, digest));
    if (!match || match[1].state === 'withdrawn') return refuse('key-unknown', 'unknown key');
    return ok({ kind: 'organisation', organisation: match[1].organisation, key: match[0] });
  }

  #route(path: string): readonly [string, RouteSpec] | undefined {
    return [...this.#configuration().routes]
      .filter(([, route]) => path === route.path || path.startsWith(`${route.path}/`))
      .sort(([, left], [, right]) => right.path.length - left.path.length)[0];
  }
}
