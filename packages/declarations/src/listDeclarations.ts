import type { Configuration } from './configuration';
import type { Declaration, DeclarationKind } from './schemas/declaration';

const getSpecs = (
  configuration: Configuration,
  kind: DeclarationKind,
): ReadonlyMap<string, Declaration['spec']> => {
  switch (kind) {
    case 'organisation':
      return configuration.organisations;
    case 'key':
      return configuration.keys;
    case 'route':
      return configuration.routes;
    case 'target':
      return configuration.targets;
    case 'budget':
      return configuration.budgets;
  }
};

/** Returns the objects of one kind as declarations, sorted by name. */
export const listDeclarations = (
  configuration: Configuration,
  kind: DeclarationKind,
): readonly Declaration[] =>
  [...getSpecs(configuration, kind)]
    .sort(([one], [other]) => (one < other ? -1 : 1))
    .map(([name, spec]) => ({ kind, name, spec }) as Declaration);
