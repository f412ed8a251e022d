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
  /** Memory that the platform allows the process, in bytes. */
  memoryBytes: z.number().positive(),
  /** Descriptors that the platform allows the process. */
  fileDescriptors: z.number().int().positive(),
  /** Region of each availability zone; empty if the platform names none. */
  regions: z.record(z.string(), z.string()),
  /** Storage instances and availability zones that may be lost at the same time. */
  toleratedLosses: z.object({
    instances: z.number().int().min(0),
    availabilityZones: z.number().int().min(0),
  }),
  /** Bounds that the platform sets. */
  bounds: z.object({
    /** Time from the store's response to a change of the configuration until it is in force. */
    applyMilliseconds: z.number().positive(),
    /** Time from the store's response to a target's announcement that it leaves until it gets no request. */
    drainMilliseconds: z.number().positive(),
    evacuationMilliseconds: z.number().positive(),
    /** Time after which an instance that was lost counts as recovered. */
    catchUpMilliseconds: z.number().positive(),
    /** Factor on the rate of a cold target, and requests beyond it, that are tolerated. */
    coldOverage: z.number().positive(),
    coldSlack: z.number().min(0),
  }),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
