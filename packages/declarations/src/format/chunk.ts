import { z } from 'zod';
import { declarationSchema } from '../schemas/declaration';

/** Objects of one kind, sorted by name. */
export const chunkSchema = z.object({
  formatVersion: z.int().positive(),
  objects: z.array(declarationSchema),
});

export type Chunk = z.infer<typeof chunkSchema>;
