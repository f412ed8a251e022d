import { z } from 'zod';

/** Kind of target: a model engine that accepts orders, or a plain service. */
export const targetBackendSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('engine'),
    /** Models that the engine has loaded or can load. */
    models: z.array(z.string().min(1)).min(1),
    /** Whether the engine rejects orders with a stale fencing number. */
    fencing: z.enum(['obeyed', 'ignored']).default('ignored'),
    /** Whether an interrupted stream can be resumed at a token. */
    resumable: z.boolean().default(false),
  }),
  z.strictObject({ kind: z.literal('service') }),
]);

export const targetSpecSchema = z.strictObject({
  /** Base address, such as `http://127.0.0.1:9001`. */
  address: z.url({ protocol: /^https?$/ }),
  availabilityZone: z.string().min(1).max(63),
  backend: targetBackendSchema,
  /** Maximum concurrent calls, summed over all instances. */
  window: z.number().int().positive().max(10_000).default(16),
  state: z.enum(['serving', 'leaving']).default('serving'),
});

export type TargetBackend = z.infer<typeof targetBackendSchema>;
export type TargetSpec = z.infer<typeof targetSpecSchema>;
