import { z } from 'zod';

/**
 * A 64-bit integer of the etcd v3 JSON gateway, which encodes it as a string. In all responses of
 * the gateway, fields with their default value may be omitted.
 */
const int64Schema = z.union([
  z
    .string()
    .regex(/^-?\d{1,19}$/)
    .transform(Number),
  z.number().int(),
]);

const base64Schema = z.string().regex(/^[A-Za-z0-9+/]*={0,2}$/, 'base64');

const headerSchema = z.object({ revision: int64Schema.default(0) });

/** One stored key with its value, as encoded by the gateway. */
export const keyValueSchema = z.object({
  key: base64Schema,
  value: base64Schema.default(''),
  mod_revision: int64Schema.default(0),
});

export const rangeResponseSchema = z.object({
  header: headerSchema,
  kvs: z.array(keyValueSchema).default([]),
});

export const transactionResponseSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z
    .array(
      z.object({
        response_range: z.object({ kvs: z.array(keyValueSchema).default([]) }).optional(),
      }),
    )
    .default([]),
});

export const leaseGrantResponseSchema = z.object({
  ID: z.string().regex(/^-?\d+$/),
  TTL: int64Schema.default(0),
});

export const leaseKeepAliveResponseSchema = z.object({
  result: z.object({ ID: z.string().optional(), TTL: int64Schema.default(0) }),
});

export const emptyResponseSchema = z.object({});

/** Body of a response whose status is not 2xx. */
export const errorResponseSchema = z.object({
  error: z.string().optional(),
  message: z.string().optional(),
  code: z.number().optional(),
});

const watchEventSchema = z.object({
  type: z.enum(['PUT', 'DELETE']).default('PUT'),
  kv: keyValueSchema,
});

/** One line of a watch stream. */
export const watchLineSchema = z.object({
  result: z.object({
    header: headerSchema,
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    compact_revision: int64Schema.default(0),
    cancel_reason: z.string().default(''),
    events: z.array(watchEventSchema).default([]),
  }),
});

export type EncodedKeyValue = z.infer<typeof keyValueSchema>;
export type WatchLine = z.infer<typeof watchLineSchema>['result'];
