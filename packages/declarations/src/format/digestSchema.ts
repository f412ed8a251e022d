import { z } from 'zod';

/** SHA-256 of a stored value, in lower-case hexadecimal. */
export const digestSchema = z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits');
