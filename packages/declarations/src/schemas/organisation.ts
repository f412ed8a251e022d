import { z } from 'zod';
import { objectNameSchema } from './objectName';

/** Rate and burst of an organisation, across all instances together. */
export const rateSchema = z.strictObject({
  /** Sustained requests per second. */
  requestsPerSecond: z.number().positive().max(1_000_000),
  /** Requests that may arrive at once. */
  burst: z.number().int().positive().max(1_000_000),
});

export const organisationSpecSchema = z.strictObject({
  /** Share of contended targets, relative to other organisations. */
  weight: z.number().positive().max(1_000).default(1),
  rate: rateSchema,
  /** Calls that may wait for a target at one owner; further calls are rejected. */
  maximumQueuedCalls: z.number().int().positive().max(100_000).default(256),
  /** Budget of each program of the organisation, where the route sets none. */
  budget: objectNameSchema.optional(),
});

export type Rate = z.infer<typeof rateSchema>;
export type OrganisationSpec = z.infer<typeof organisationSpecSchema>;
