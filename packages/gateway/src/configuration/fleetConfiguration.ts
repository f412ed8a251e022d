import { z } from 'zod';

/** What may be repeated on a route, and how its answer comes. */
export const executionSchema = z.discriminatedUnion('kind', [
  /** May run more than once. */
  z.object({ kind: z.literal('idempotent') }),
  /** Runs at most once for each request of a caller. */
  z.object({ kind: z.literal('at-most-once') }),
  /** Answers with a series of events; runs at most once unless it may be resumed. */
  z.object({
    kind: z.literal('event-stream'),
    isResumable: z.boolean(),
    /** Longest pause between events within the latency objective, in milliseconds. */
    maximumGapMilliseconds: z.number().positive(),
  }),
]);

/** Who keeps what a program's turns build on. */
export const routeContextSchema = z.discriminatedUnion('kind', [
  /** Limpetnotch keeps the history, in a partition with one owner. */
  z.object({ kind: z.literal('held') }),
  /** Each request carries its whole prompt; the instance that read it runs it. */
  z.object({ kind: z.literal('carried') }),
]);

/** A service that a route sends to, with its share of the requests. */
export const destinationSchema = z.object({
  service: z.string().min(1),
  weight: z.number().min(0),
});

/** One route. */
export const fleetRouteSchema = z.object({
  name: z.string().min(1),
  host: z.string().min(1),
  /** Begins and ends with a slash; the longest match of a host wins. */
  pathPrefix: z.string().min(1),
  execution: executionSchema,
  context: routeContextSchema,
  destinations: z.array(destinationSchema).min(1),
  /** Time after which a request has its final answer, in milliseconds. */
  timeoutMilliseconds: z.number().positive(),
  latencyObjectiveMilliseconds: z.number().positive(),
  /** Rank among routes; 0 is first. */
  priority: z.number().int().min(0),
  /** Most targets that may run one request of a caller. */
  maximumTargets: z.number().int().min(1),
  isOpenToAll: z.boolean(),
  hasSessionAffinity: z.boolean(),
});

/** A model engine behind a service. */
export const engineSchema = z.object({
  slots: z.number().int().positive(),
  cacheTokens: z.number().positive(),
  tokensPerEvent: z.number().positive(),
});

/** A service with targets of its own. */
export const targetServiceSchema = z.object({
  name: z.string().min(1),
  /** Connections that one target accepts from all instances together. */
  connectionLimit: z.number().int().positive(),
  engine: engineSchema.optional(),
});

/** Bounds on what callers send. */
export const callerLimitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMilliseconds: z.number().positive(),
  idleTimeoutMilliseconds: z.number().positive(),
});

/** An organisation with its keys and its rate over all instances together. */
export const fleetOrganisationSchema = z.object({
  name: z.string().min(1),
  keys: z.array(z.string().min(1)),
  /** Rank among organisations; 0 is first. */
  priority: z.number().int().min(0),
  /** Requests a second; absent where there is no limit. */
  rate: z.object({ perSecond: z.number().positive(), burst: z.number().min(0) }).optional(),
});

/** One whole version of the configuration. */
export const fleetConfigurationSchema = z.object({
  version: z.number().int(),
  routes: z.array(fleetRouteSchema),
  services: z.array(targetServiceSchema),
  limits: callerLimitsSchema,
  /** Absent where callers present no keys. */
  organisations: z.array(fleetOrganisationSchema).optional(),
});

export type RouteExecution = z.infer<typeof executionSchema>;
export type RouteContext = z.infer<typeof routeContextSchema>;
export type FleetRoute = z.infer<typeof fleetRouteSchema>;
export type TargetService = z.infer<typeof targetServiceSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type FleetOrganisation = z.infer<typeof fleetOrganisationSchema>;
export type FleetConfiguration = z.infer<typeof fleetConfigurationSchema>;
