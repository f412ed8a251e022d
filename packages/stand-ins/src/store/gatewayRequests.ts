import { z } from 'zod';

// The subset of the requests of the etcd v3 JSON gateway that the stand-in supports.
const int64Schema = z.union([z.string().regex(/^-?\d+$/), z.number().int().transform(String)]);

export const rangeRequestSchema = z.object({
  key: z.string(),
  range_end: z.string().default(''),
});

const putSchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  lease: int64Schema.default('0'),
});

const operationSchema = z.union([
  z.object({ request_put: putSchema }),
  z.object({ request_range: rangeRequestSchema }),
  z.object({ request_delete_range: rangeRequestSchema }),
]);

export const transactionRequestSchema = z.object({
  compare: z
    .array(
      z.object({
        key: z.string(),
        target: z.literal('MOD'),
        result: z.literal('EQUAL'),
        mod_revision: int64Schema.default('0'),
      }),
    )
    .default([]),
  success: z.array(operationSchema).default([]),
  failure: z.array(operationSchema).default([]),
});

export const leaseGrantRequestSchema = z.object({ TTL: int64Schema });

export const leaseRequestSchema = z.object({ ID: int64Schema });

export const watchRequestSchema = z.object({
  create_request: z.object({
    key: z.string(),
    range_end: z.string().default(''),
    start_revision: int64Schema.default('0'),
    progress_notify: z.boolean().default(false),
  }),
});

export type RangeRequest = z.infer<typeof rangeRequestSchema>;
export type TransactionRequest = z.infer<typeof transactionRequestSchema>;
export type TransactionOperation = z.infer<typeof operationSchema>;
export type WatchRequest = z.infer<typeof watchRequestSchema>['create_request'];
