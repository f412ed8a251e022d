import type { Configuration } from './configuration';
import type { MutableConfiguration } from './mutableConfiguration';
import { addDeclaration, removeDeclaration } from './mutableConfiguration';
import type { Declaration } from './schemas/declaration';

/** Objects removed and added between two configurations; a changed object is in both lists. */
export interface DeclarationChanges {
  readonly removed: Iterable<Declaration>;
  readonly added: Iterable<Declaration>;
}

/** Builds a configuration from a previous one, without reading the complete set again. */
export const changeConfiguration = (
  previous: Configuration,
  revision: number,
  { removed, added }: DeclarationChanges,
): Configuration => {
  const maps: MutableConfiguration = {
    organisations: new Map(previous.organisations),
    keys: new Map(previous.keys),
    routes: new Map(previous.routes),
    targets: new Map(previous.targets),
    budgets: new Map(previous.budgets),
  };
  for (const declaration of removed) removeDeclaration(maps, declaration);
  for (const declaration of added) addDeclaration(maps, declaration);
  return { revision, ...maps };
};
