import { createHash } from 'node:crypto';
import { keySpecSchema, organisationSpecSchema, routeSpecSchema } from '@limpetnotch/declarations';
import type { Configuration, RouteSpec } from '@limpetnotch/declarations';

export const createSecret = (name: string): string => `lnk_${name}_0123456789abcdef`;

export interface KeyDraft {
  readonly name: string;
  readonly organisation: string;
  readonly state?: 'active' | 'withdrawn';
  readonly secret?: string;
}

export interface RouteDraft {
  readonly name: string;
  readonly path: string;
  readonly methods?: RouteSpec['methods'];
  readonly access?: RouteSpec['access'];
}

const digest = (secret: string): string =>
  `sha256:${createHash('sha256').update(secret).digest('hex')}`;

export const createConfiguration = (
  keys: readonly KeyDraft[],
  routes: readonly RouteDraft[] = [],
): Configuration => ({
  revision: 1,
  organisations: new Map(
    [...new Set(keys.map((key) => key.organisation))].map((name) => [
      name,
      organisationSpecSchema.parse({ rate: { requestsPerSecond: 10, burst: 10 } }),
    ]),
  ),
  keys: new Map(
    keys.map(({ name, secret, ...spec }) => [
      name,
      keySpecSchema.parse({ ...spec, digest: digest(secret ?? createSecret(name)) }),
    ]),
  ),
  routes: new Map(
    routes.map(({ name, ...spec }) => [
      name,
      routeSpecSchema.parse({
        ...spec,
        service: { kind: 'service' },
        targets: ['any'],
        idempotent: false,
      }),
    ]),
  ),
  targets: new Map(),
  budgets: new Map(),
});
