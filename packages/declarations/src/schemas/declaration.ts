import { z } from 'zod';
import { budgetSpecSchema } from './budget';
import { keySpecSchema } from './key';
import { objectNameSchema } from './objectName';
import { organisationSpecSchema } from './organisation';
import { routeSpecSchema } from './route';
import { targetSpecSchema } from './target';

export const declarationKindSchema = z.enum(['organisation', 'key', 'route', 'target', 'budget']);

/** A declared object: a YAML document with a kind, a name and a specification. */
export const declarationSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('organisation'),
    name: objectNameSchema,
    spec: organisationSpecSchema,
  }),
  z.strictObject({ kind: z.literal('key'), name: objectNameSchema, spec: keySpecSchema }),
  z.strictObject({ kind: z.literal('route'), name: objectNameSchema, spec: routeSpecSchema }),
  z.strictObject({ kind: z.literal('target'), name: objectNameSchema, spec: targetSpecSchema }),
  z.strictObject({ kind: z.literal('budget'), name: objectNameSchema, spec: budgetSpecSchema }),
]);

export type Declaration = z.infer<typeof declarationSchema>;
export type DeclarationKind = z.infer<typeof declarationKindSchema>;
