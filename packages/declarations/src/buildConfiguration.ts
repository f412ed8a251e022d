import type { Configuration } from './configuration';
import type { MutableConfiguration } from './mutableConfiguration';
import { addDeclaration } from './mutableConfiguration';
import type { Declaration } from './schemas/declaration';

/** Builds a configuration from declarations of distinct names. */
export const buildConfiguration = (
  revision: number,
  declarations: Iterable<Declaration>,
): Configuration => {
  const maps: MutableConfiguration = {
    organisations: new Map(),
    keys: new Map(),
    routes: new Map(),
    targets: new Map(),
    budgets: new Map(),
  };
  for (const declaration of declarations) addDeclaration(maps, declaration);
  return { revision, ...maps };
};
