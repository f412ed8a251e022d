import { z } from 'zod';
import { objectNameSchema } from './objectName';
import { rateSchema } from './organisation';

const MAXIMUM_DEADLINE_SECONDS = 3_600;

/** Who may call a route. */
export const routeAccessSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('keyed'),
    /** Organisations that may call; all by default. */
    organisations: z.array(objectNameSchema).min(1).optional(),
  }),
  z.strictObject({
    kind: z.literal('open'),
    /** Limit of each source address, on each instance. */
    sourceLimit: rateSchema,
  }),
]);

/** What stands behind a route. */
export const routeServiceSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    /** Models that callers may name. */
    models: z.array(z.string().min(1)).min(1),
  }),
  z.strictObject({ kind: z.literal('service') }),
]);

/** Specification of a route. */
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
  /** Whether a call that may have run can be sent again. */
  idempotent: z.boolean(),
  /** Time after which a call is cut off. */
  deadlineSeconds: z.number().positive().max(MAXIMUM_DEADLINE_SECONDS).default(120),
  /** Time without any byte of an answer after which a target's connection counts as silent. */
  progressDeadlineSeconds: z.number().positive().max(MAXIMUM_DEADLINE_SECONDS).default(15),
  /** Retries as a share of first attempts. */
  retryRatio: z.number().min(0).max(1).default(0.2),
  budget: objectNameSchema.optional(),
  /** Price of one call, in micro-units of the budget's currency. */
  spendMicrosPerCall: z.number().int().min(0).default(0),
});

export type RouteAccess = z.infer<typeof routeAccessSchema>;
export type RouteService = z.infer<typeof routeServiceSchema>;
export type RouteSpec = z.infer<typeof routeSpecSchema>;
