import { z } from 'zod';
import { digestSchema } from './digestSchema';

/**
 * The one value that makes a configuration current. It names the index of chunks by digest, and so
 * stays a few hundred bytes long at any size of the set.
 */
export const configurationRootSchema = z.object({
  formatVersion: z.int().positive(),
  revision: z.int().positive(),
  /** Made by the publisher, so that it knows its own write again after a lost answer. */
  publishId: z.string().min(1).max(100),
  author: z.string().min(1).max(200),
  /** Time of the publisher's clock, in ISO 8601; shown to operators, never compared. */
  publishedAt: z.iso.datetime(),
  /** Revision whose content this one brings back, where it is a rollback. */
  rollbackOf: z.int().positive().optional(),
  /** Rises with each collection of unreferenced chunks, which makes publishers under way start over. */
  collections: z.int().min(0).default(0),
  /** Digest of the {@link chunkIndexSchema} value. */
  index: digestSchema,
});

export type ConfigurationRoot = z.infer<typeof configurationRootSchema>;
