import { z } from 'zod';

const addressSchema = z.object({
  host: z.string().min(1),
  port: z.number().int().min(0).max(65_535),
});

/** Settings of one gateway instance. */
export const gatewaySettingsSchema = z.object({
  /** Name of the instance, stable across restarts. */
  instance: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Address on which the instance serves callers. */
  entry: addressSchema,
  /**
   * Address and path on which the load balancer checks whether the instance accepts connections.
   */
  readiness: addressSchema,
  readinessPath: z.string().startsWith('/'),
  /** Address on which the instance serves other instances, and which it announces to them. */
  peer: addressSchema,
  /** Whether the whole system starts for the first time, so that no earlier state exists. */
  isFirstStart: z.boolean(),
  /** Time between the request to stop and the end of the process, in milliseconds. */
  graceMilliseconds: z.number().positive(),
  /** Window over which the operator measures the rates of organisations, in seconds. */
  quotaWindowSeconds: z.number().positive(),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
