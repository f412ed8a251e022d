import { z } from 'zod';
import { declarationKindSchema } from '../schemas/declaration';
import { digestSchema } from './digestSchema';

/** Reference to a chunk, which contains the objects of a kind whose hashed names share a prefix. */
export const chunkReferenceSchema = z.object({
  kind: declarationKindSchema,
  /** Common leading bits of the SHA-256 of the names, as a string of `0` and `1`. */
  prefix: z.string().regex(/^[01]*$/),
  digest: digestSchema,
});

/** The chunks of a complete configuration. */
export const chunkIndexSchema = z.object({
  formatVersion: z.int().positive(),
  chunks: z.array(chunkReferenceSchema),
});

export type ChunkReference = z.infer<typeof chunkReferenceSchema>;
export type ChunkIndex = z.infer<typeof chunkIndexSchema>;
