import { createHash } from 'node:crypto';
import { extractCredential, KeyRing, RouteTable, stripCredentials } from '@limpetnotch/admission';
import { keySpecSchema, routeSpecSchema } from '@limpetnotch/declarations';
import type { Configuration } from '@limpetnotch/declarations';

const MILLISECONDS_PER_SECOND = 1_000;
const ROUTES = 100;
const KEYS_PER_ORGANISATION = 3;
const CHECKS = 20_000;

/** Requests per second that one core checks, for each part of the check and for all parts. */
export interface CheckFigures {
  readonly keys: number;
  readonly credentialsPerSecond: number;
  readonly routesPerSecond: number;
  readonly strippedPerSecond: number;
  readonly wholePerSecond: number;
}

const createSecret = (index: number): string => `lnk_${'x'.repeat(32)}${index}`;

const createConfiguration = (keys: number): Configuration => ({
  revision: 1,
  organisations: new Map(),
  keys: new Map(
    Array.from({ length: keys }, (_, index) => [
      `key-${index}`,
      keySpecSchema.parse({
        organisation: `organisation-${Math.floor(index / KEYS_PER_ORGANISATION)}`,
        digest: `sha256:${createHash('sha256').update(createSecret(index)).digest('hex')}`,
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

const createHeaders = (index: number): readonly string[] => [
  ...['Host', '127.0.0.1:8080', 'Authorization', `Bearer ${createSecret(index)}`],
  ...['Content-Type', 'application/json', 'Accept', 'text/event-stream', 'User-Agent', 'bench/1'],
  ...['traceparent', '00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01'],
  ...['limpetnotch-program', 'survey-7', 'Idempotency-Key', `call-${index}`],
];

const measureChecksPerSecond = (work: (index: number) => boolean): number => {
  const start = performance.now();
  for (let index = 0; index < CHECKS; index += 1) {
    if (!work(index)) throw new Error('a check rejected a valid request');
  }
  return Math.round((CHECKS * MILLISECONDS_PER_SECOND) / (performance.now() - start));
};

/** Measures key checks, route checks and credential stripping, with `keys` declared keys. */
export const measureChecks = (keys: number): CheckFigures => {
  const configuration = createConfiguration(keys);
  const keyRing = new KeyRing(configuration);
  const routeTable = new RouteTable(configuration);
  const checkKey = (index: number): boolean =>
    extractCredential(createHeaders(index % keys), '/')
      .andThen((secret) => keyRing.authenticate(secret ?? ''))
      .isOk();
  const checkRoute = (index: number): boolean =>
    routeTable.match('POST', `/tools/tool-${index % ROUTES}/run?attempt=1`).isOk();
  const strip = (index: number): boolean =>
    stripCredentials(createHeaders(index % keys), '/tools?attempt=1', createSecret(index % keys))
      .headers.length > 0;
  return {
    keys,
    credentialsPerSecond: measureChecksPerSecond(checkKey),
    routesPerSecond: measureChecksPerSecond(checkRoute),
    strippedPerSecond: measureChecksPerSecond(strip),
    wholePerSecond: measureChecksPerSecond(
      (index) => checkKey(index) && checkRoute(index) && strip(index),
    ),
  };
};
