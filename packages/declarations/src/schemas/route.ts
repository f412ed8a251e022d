import { z } from 'zod';
import { objectNameSchema } from './objectName';
import { rateSchema } from './organisation';

const MAXIMUM_DEADLINE_SECONDS = 3_600;

/** Who may call a route. */
export const routeAccessSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('keyed'),
    /** Organisations that may call the route; all by default. */
    organisations: z.array(objectNameSchema).min(1).optional(),
  }),
  z.strictObject({
    kind: z.literal('open'),
    /** Rate limit per source address, on each instance. */
    sourceLimit: rateSchema,
  }),
]);

/** Kind of service that a route exposes. */
export const routeServiceSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    /** Models that callers may request. */
    models: z.array(z.string().min(1)).min(1),
  }),
  z.strictObject({ kind: z.literal('service') }),
]);

export const routeSpecSchema = z.strictObject({
  /** Path prefix, such as `/v1/chat/completions` or `/tools/charge`; the longest match wins. */
  path: z.string().regex(/^\/[A-Za-z0-9._~/-]*$/, 'an absolute path'),
  methods: z
    .array(z.enum(['GET', 'POST', 'PUT', 'DELETE', 'PATCH']))
    .min(1)
    .default(['POST']),
  service: routeServiceSchema,
  targets: z.array(objectNameSchema).min(1),
  access: routeAccessSchema.default({ kind: 'keyed' }),
  /** Whether a call that may have been executed can be retried. */
  idempotent: z.boolean(),
  /** Time after which a call is aborted. */
  deadlineSeconds: z.number().positive().max(MAXIMUM_DEADLINE_SECONDS).default(120),
  /**
   * Time without any response byte after which the connection to a target counts as unresponsive.
   */
  progressDeadlineSeconds: z.number().positive().max(MAXIMUM_DEADLINE_SECONDS).default(15),
  /** Maximum ratio of retries to first attempts. */
  retryRatio: z.number().min(0).max(1).default(0.2),
  budget: objectNameSchema.optional(),
  /** Price of one call, in micro-units of the budget's currency. */
  spendMicrosPerCall: z.number().int().min(0).default(0),
});

export type RouteAccess = z.infer<typeof routeAccessSchema>;
export type RouteService = z.infer<typeof routeServiceSchema>;
export type RouteSpec = z.infer<typeof routeSpecSchema>;
