import { z } from 'zod';

const addressSchema = z.object({
  host: z.string().min(1),
  port: z.number().int().min(0).max(65_535),
});

/** Settings of one gateway instance. */
export const gatewaySettingsSchema = z.object({
  /** Name of the instance, the same after each restart. */
  instance: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Address on which callers are served. */
  entry: addressSchema,
  /** Address and path on which the load balancer asks whether the instance takes connections. */
  readiness: addressSchema,
  readinessPath: z.string().startsWith('/'),
  /** Address on which other instances are served, and which they are told. */
  peer: addressSchema,
  /** Whether the whole system starts for the first time, so that nothing happened before. */
  isFirstStart: z.boolean(),
  /** Time between the request to stop and the end of the process, in milliseconds. */
  graceMilliseconds: z.number().positive(),
  /** Window over which the operator measures the rates of organisations, in seconds. */
  quotaWindowSeconds: z.number().positive(),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
