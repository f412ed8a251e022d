import type { Configuration, RouteSpec } from '@limpetnotch/declarations';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AdmissionError } from '../admissionError';
import { splitPathSegments } from './splitPathSegments';

/** A declared route and its name. */
export interface NamedRoute {
  readonly name: string;
  readonly route: RouteSpec;
}

const toPathKey = (segments: readonly string[]): string => segments.join('/');

const allowsMethod = (route: RouteSpec, method: string): boolean =>
  route.methods.some((allowed) => allowed === method);

/** The declared routes of one configuration, matched by the longest prefix of path segments. */
export class RouteTable {
  readonly #routes = new Map<string, NamedRoute[]>();

  #maximumDepth = 0;

  constructor(configuration: Configuration) {
    for (const [name, route] of configuration.routes) this.#add({ name, route });
  }

  /**
   * Finds the route of a request. Fails with `route-not-found` for a path that a target could
   * interpret differently (dot segments, empty segments, backslashes, encoded slashes or dots).
   * Routes with the same path are distinguished by method; `method-not-allowed` lists all methods
   * of the path.
   */
  match(method: string, path: string): Result<NamedRoute, AdmissionError> {
    const segments = splitPathSegments(path);
    const candidates = segments ? this.#longestPrefix(segments) : [];
    if (candidates.length === 0) return err({ kind: 'route-not-found' });
    const found = candidates.find(({ route }) => allowsMethod(route, method));
    if (found) return ok(found);
    const allowed = new Set(candidates.flatMap(({ route }) => route.methods));
    return err({ kind: 'method-not-allowed', allowed: [...allowed] });
  }

  /** Whether an organisation may call a route. */
  mayCall(route: RouteSpec, organisation: string): boolean {
    switch (route.access.kind) {
      case 'open':
        return true;
      case 'keyed':
        return route.access.organisations?.includes(organisation) ?? true;
      // no default
    }
  }

  #longestPrefix(segments: readonly string[]): readonly NamedRoute[] {
    for (let depth = Math.min(segments.length, this.#maximumDepth); depth >= 0; depth -= 1) {
      const found = this.#routes.get(toPathKey(segments.slice(0, depth)));
      if (found) return found;
    }
    return [];
  }

  #add(namedRoute: NamedRoute): void {
    const segments = namedRoute.route.path.split('/').filter((segment) => segment !== '');
    const pathKey = toPathKey(segments);
    this.#maximumDepth = Math.max(this.#maximumDepth, segments.length);
    this.#routes.set(pathKey, [...(this.#routes.get(pathKey) ?? []), namedRoute]);
  }
}
