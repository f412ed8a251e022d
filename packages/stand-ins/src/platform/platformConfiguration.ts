/** A route that the soak's callers use, in this project's terms. */
export interface StandInRoute {
  readonly name: string;
  readonly kind: 'safe' | 'unsafe' | 'stream';
  readonly service: string;
  readonly isResumable: boolean;
  readonly maximumTargets: number;
  readonly timeoutMilliseconds: number;
}

/** Options of {@link platformConfiguration}. */
export interface PlatformConfigurationOptions {
  readonly version: number;
  readonly host: string;
  readonly routes: readonly StandInRoute[];
  /** Services; `engineSlots` is set where the targets are model engines. */
  readonly services: readonly { readonly name: string; readonly engineSlots?: number }[];
  readonly organisations: readonly {
    readonly name: string;
    readonly key: string;
    readonly isRated: boolean;
  }[];
}

/** Far above the traffic of a soak, so that instances share the rate but never refuse a request. */
const GENEROUS_RATE_PER_SECOND = 2_000;

/** Connections that a target accepts; far more than its slots. */
const CONNECTION_LIMIT = 200;

/** Returns a configuration in the platform's format, as an operator writes it. */
export const platformConfiguration = (options: PlatformConfigurationOptions): object => ({
  version: options.version,
  routes: options.routes.map((route) => ({
    name: route.name,
    host: options.host,
    pathPrefix: `/${route.name}/`,
    kind: route.kind,
    service: route.service,
    timeoutMs: route.timeoutMilliseconds,
    targetLatencyMs: 300,
    gapTargetMs: 300,
    attempts: route.maximumTargets,
    allowResume: route.isResumable,
    stickySessions: route.kind === 'stream',
  })),
  services: options.services.map(({ name, engineSlots }) => ({
    name,
    connectionLimit: CONNECTION_LIMIT,
    ...(engineSlots === undefined
      ? {}
      : { engine: { slots: engineSlots, kvCacheTokens: 100_000, tokensPerEvent: 4 } }),
  })),
  limits: {
    headerBytes: 16_384,
    bodyBytes: 65_536,
    headerTimeoutMs: 5_000,
    idleTimeoutMs: 10_000,
  },
  tenants: options.organisations.map(({ name, key, isRated }) => ({
    name,
    apiKeys: [key],
    ...(isRated && { ratePerS: GENEROUS_RATE_PER_SECOND, burst: GENEROUS_RATE_PER_SECOND }),
  })),
});
