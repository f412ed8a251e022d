import type { Configuration, RouteSpec } from '@limpetnotch/declarations';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AdmissionError } from '../admissionError';
import { segmentsOf } from './segmentsOf';

/** A declared route and its name. */
export interface NamedRoute {
  readonly name: string;
  readonly route: RouteSpec;
}

const placeOf = (segments: readonly string[]): string => segments.join('/');

const isMethodOf = (route: RouteSpec, method: string): boolean =>
  route.methods.some((allowed) => allowed === method);

/** The declared routes of one configuration; the longest prefix of whole path segments wins. */
export class RouteTable {
  readonly #routes = new Map<string, NamedRoute[]>();

  #maximumDepth = 0;

  constructor(configuration: Configuration) {
    for (const [name, route] of configuration.routes) this.#add({ name, route });
  }

  /**
   * Finds the route of a request. A path that a target could read in another way (dot segments,
   * empty segments, backslashes, encoded slashes or dots) is `route-not-found`. Routes of the same
   * path are told apart by method; `method-not-allowed` names all methods of the path.
   */
  match(method: string, path: string): Result<NamedRoute, AdmissionError> {
    const segments = segmentsOf(path);
    const candidates = segments ? this.#longestPrefix(segments) : [];
    if (candidates.length === 0) return err({ kind: 'route-not-found' });
    const found = candidates.find(({ route }) => isMethodOf(route, method));
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
      const found = this.#routes.get(placeOf(segments.slice(0, depth)));
      if (found) return found;
    }
    return [];
  }

  #add(named: NamedRoute): void {
    const segments = named.route.path.split('/').filter((segment) => segment !== '');
    const place = placeOf(segments);
    this.#maximumDepth = Math.max(this.#maximumDepth, segments.length);
    this.#routes.set(place, [...(this.#routes.get(place) ?? []), named]);
  }
}
