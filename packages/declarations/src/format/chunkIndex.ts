import { z } from 'zod';
import { declarationKindSchema } from '../schemas/declaration';
import { digestSchema } from './digestSchema';

/** One chunk: the objects of a kind whose hashed name starts with a string of bits. */
export const chunkReferenceSchema = z.object({
  kind: declarationKindSchema,
  /** Leading bits of the SHA-256 of the names, as `0` and `1`. */
  prefix: z.string().regex(/^[01]*$/),
  digest: digestSchema,
});

/** The chunks of a whole configuration. */
export const chunkIndexSchema = z.object({
  formatVersion: z.int().positive(),
  chunks: z.array(chunkReferenceSchema),
});

export type ChunkReference = z.infer<typeof chunkReferenceSchema>;
export type ChunkIndex = z.infer<typeof chunkIndexSchema>;
