import { z } from 'zod';

const MAXIMUM_NAME_LENGTH = 63;

/** Name of a declared object: lower-case letters, digits and inner hyphens. */
export const objectNameSchema = z
  .string()
  .max(MAXIMUM_NAME_LENGTH)
  .regex(/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/, 'lower-case letters, digits and inner hyphens');
