import { z } from 'zod';

/** Which requests of a route may be retried, and how they are answered. */
export const executionSchema = z.discriminatedUnion('kind', [
  /** Requests may run more than once. */
  z.object({ kind: z.literal('idempotent') }),
  /** Each request of a caller runs at most once. */
  z.object({ kind: z.literal('at-most-once') }),
  /** The response is a stream of events; a request runs at most once unless it is resumable. */
  z.object({
    kind: z.literal('event-stream'),
    isResumable: z.boolean(),
    /** Longest gap between events that meets the latency objective, in milliseconds. */
    maximumGapMilliseconds: z.number().positive(),
  }),
]);

/** Where the history that a program's turns build on is kept. */
export const routeContextSchema = z.discriminatedUnion('kind', [
  /** Each request carries only its new input; storage instances retain the turns before it. */
  z.object({ kind: z.literal('held') }),
  /** Each request carries its complete prompt; the instance that received it runs it. */
  z.object({ kind: z.literal('carried') }),
]);

/** A service that a route sends requests to, with its share of them. */
export const destinationSchema = z.object({
  service: z.string().min(1),
  weight: z.number().min(0),
});

/** A route from a host and path prefix to services. */
export const fleetRouteSchema = z.object({
  name: z.string().min(1),
  host: z.string().min(1),
  /** Starts and ends with a slash; the longest match for a host wins. */
  pathPrefix: z.string().min(1),
  execution: executionSchema,
  context: routeContextSchema,
  destinations: z.array(destinationSchema).min(1),
  /** Time within which a request receives its final response, in milliseconds. */
  timeoutMilliseconds: z.number().positive(),
  latencyObjectiveMilliseconds: z.number().positive(),
  /** Rank among routes; 0 is the highest. */
  priority: z.number().int().min(0),
  /** Maximum number of targets that may run one request of a caller. */
  maximumTargets: z.number().int().min(1),
  isOpenToAll: z.boolean(),
  hasSessionAffinity: z.boolean(),
  /** Time for which a program may return after its last turn; unknown if absent. */
  retentionMilliseconds: z.number().min(0).optional(),
  /** Regions of the targets and instances that requests may reach; unrestricted if absent or empty. */
  allowedRegions: z.array(z.string().min(1)).optional(),
});

/** A model engine behind a service. */
export const engineSchema = z.object({
  slots: z.number().int().positive(),
  cacheTokens: z.number().positive(),
  tokensPerEvent: z.number().positive(),
});

/** How targets of a service start: they are cold for a time, in which they sustain a low rate. */
export const coldStartSchema = z.object({
  /** Time from the start of a target; 0 if only targets that announce it are cold. */
  milliseconds: z.number().min(0),
  requestsPerSecond: z.number().positive(),
});

/** A service that is provided by a set of targets. */
export const targetServiceSchema = z.object({
  name: z.string().min(1),
  /** Number of connections that one target accepts from all instances together. */
  connectionLimit: z.number().int().positive(),
  engine: engineSchema.optional(),
  /** Absent if its targets take all their load from the start. */
  coldStart: coldStartSchema.optional(),
});

/** Limits on callers' requests and connections. */
export const callerLimitsSchema = z.object({
  headerBytes: z.number().int().positive(),
  bodyBytes: z.number().int().positive(),
  headerTimeoutMilliseconds: z.number().positive(),
  idleTimeoutMilliseconds: z.number().positive(),
});

/** An organisation with its keys and its rate limit across all instances. */
export const fleetOrganisationSchema = z.object({
  name: z.string().min(1),
  keys: z.array(z.string().min(1)),
  /** Rank among organisations; 0 is the highest. */
  priority: z.number().int().min(0),
  /** Regions that its requests may reach, as for a route; both restrictions apply. */
  allowedRegions: z.array(z.string().min(1)).optional(),
  /** Limit in requests per second; absent if there is none. */
  rate: z.object({ perSecond: z.number().positive(), burst: z.number().min(0) }).optional(),
});

/** One complete version of the configuration. */
export const fleetConfigurationSchema = z.object({
  version: z.number().int(),
  routes: z.array(fleetRouteSchema),
  services: z.array(targetServiceSchema),
  limits: callerLimitsSchema,
  /** Absent if callers present no keys. */
  organisations: z.array(fleetOrganisationSchema).optional(),
});

export type RouteExecution = z.infer<typeof executionSchema>;
export type RouteContext = z.infer<typeof routeContextSchema>;
export type FleetRoute = z.infer<typeof fleetRouteSchema>;
export type ColdStart = z.infer<typeof coldStartSchema>;
export type TargetService = z.infer<typeof targetServiceSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type FleetOrganisation = z.infer<typeof fleetOrganisationSchema>;
export type FleetConfiguration = z.infer<typeof fleetConfigurationSchema>;
