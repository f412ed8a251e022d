import { z } from 'zod';
import { objectNameSchema } from './objectName';

/** Specification of the key of a caller; the secret itself is never declared. */
export const keySpecSchema = z.strictObject({
  organisation: objectNameSchema,
  /** SHA-256 of the secret, in lower-case hexadecimal. */
  digest: z.string().regex(/^sha256:[0-9a-f]{64}$/, 'sha256: and 64 hexadecimal digits'),
  state: z.enum(['active', 'withdrawn']).default('active'),
});

export type KeySpec = z.infer<typeof keySpecSchema>;
