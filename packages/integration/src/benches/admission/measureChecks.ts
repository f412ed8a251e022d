import { createHash } from 'node:crypto';
import { extractCredential, KeyRing, RouteTable, stripCredentials } from '@limpetnotch/admission';
import { keySpecSchema, routeSpecSchema } from '@limpetnotch/declarations';
import type { Configuration } from '@limpetnotch/declarations';

const MILLISECONDS_PER_SECOND = 1_000;
const ROUTES = 100;
const KEYS_PER_ORGANISATION = 3;
const CHECKS = 20_000;

/** Requests a second that one core checks, by part of the check. */
export interface CheckFigures {
  readonly keys: number;
  readonly credentialsPerSecond: number;
  readonly routesPerSecond: number;
  readonly strippedPerSecond: number;
  readonly wholePerSecond: number;
}

const secretOf = (index: number): string => `lnk_${'x'.repeat(32)}${index}`;

const configurationOf = (keys: number): Configuration => ({
  revision: 1,
  organisations: new Map(),
  keys: new Map(
    Array.from({ length: keys }, (_, index) => [
      `key-${index}`,
      keySpecSchema.parse({
        organisation: `organisation-${Math.floor(index / KEYS_PER_ORGANISATION)}`,
        digest: `sha256:${createHash('sha256').update(secretOf(index)).digest('hex')}`,
      }),
    ]),
  ),
  routes: new Map(
    Array.from({ length: ROUTES }, (_, index) => [
      `route-${index}`,
      routeSpecSchema.parse({
        path: `/tools/tool-${index}`,
        service: { kind: 'service' },
        targets: ['any'],
        idempotent: false,
      }),
    ]),
  ),
  targets: new Map(),
  budgets: new Map(),
});

const headersOf = (index: number): readonly string[] => [
  ...['Host', '127.0.0.1:8080', 'Authorization', `Bearer ${secretOf(index)}`],
  ...['Content-Type', 'application/json', 'Accept', 'text/event-stream', 'User-Agent', 'bench/1'],
  ...['traceparent', '00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01'],
  ...['limpetnotch-program', 'survey-7', 'Idempotency-Key', `call-${index}`],
];

const perSecond = (work: (index: number) => boolean): number => {
  const start = performance.now();
  for (let index = 0; index < CHECKS; index += 1) {
    if (!work(index)) throw new Error('a check failed');
  }
  return Math.round((CHECKS * MILLISECONDS_PER_SECOND) / (performance.now() - start));
};

/** Measures the checks of key, route and credentials against so many declared keys. */
export const measureChecks = (keys: number): CheckFigures => {
  const configuration = configurationOf(keys);
  const ring = new KeyRing(configuration);
  const table = new RouteTable(configuration);
  const checkKey = (index: number): boolean =>
    extractCredential(headersOf(index % keys), '/')
      .andThen((secret) => ring.authenticate(secret ?? ''))
      .isOk();
  const checkRoute = (index: number): boolean =>
    table.match('POST', `/tools/tool-${index % ROUTES}/run?attempt=1`).isOk();
  const strip = (index: number): boolean =>
    stripCredentials(headersOf(index % keys), '/tools?attempt=1', secretOf(index % keys)).headers
      .length > 0;
  return {
    keys,
    credentialsPerSecond: perSecond(checkKey),
    routesPerSecond: perSecond(checkRoute),
    strippedPerSecond: perSecond(strip),
    wholePerSecond: perSecond((index) => checkKey(index) && checkRoute(index) && strip(index)),
  };
};
