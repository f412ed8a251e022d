import { declarationKindSchema, listDeclarations } from '@limpetnotch/declarations';
import type { Configuration, DeclarationKind } from '@limpetnotch/declarations';

/** Number of objects of a kind. */
export interface ObjectCount {
  readonly kind: DeclarationKind;
  readonly count: number;
}

/** Counts the objects of each kind. */
export const countObjects = (configuration: Configuration): ObjectCount[] =>
  declarationKindSchema.options.map((kind) => ({
    kind,
    count: listDeclarations(configuration, kind).length,
  }));
