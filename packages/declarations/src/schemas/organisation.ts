import { z } from 'zod';
import { objectNameSchema } from './objectName';

/** Rate and burst of an organisation, across all instances together. */
export const rateSchema = z.strictObject({
  /** Requests a second in the long run. */
  requestsPerSecond: z.number().positive().max(1_000_000),
  /** Requests that may come at once. */
  burst: z.number().int().positive().max(1_000_000),
});

/** Specification of an organisation. */
export const organisationSpecSchema = z.strictObject({
  /** Share of the targets under contention, relative to other organisations. */
  weight: z.number().positive().max(1_000).default(1),
  rate: rateSchema,
  /** Calls that may wait for a target at one owner; more are refused. */
  maximumQueuedCalls: z.number().int().positive().max(100_000).default(256),
  /** Budget of each of its programs where the route names none. */
  budget: objectNameSchema.optional(),
});

export type Rate = z.infer<typeof rateSchema>;
export type OrganisationSpec = z.infer<typeof organisationSpecSchema>;
