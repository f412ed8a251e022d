import type { Configuration } from './configuration';
import type { Declaration } from './schemas/declaration';
import type { SpecByKind } from './schemas/specByKind';

/** Builds a configuration from declarations of distinct names. */
export const buildConfiguration = (
  revision: number,
  declarations: Iterable<Declaration>,
): Configuration => {
  const organisations = new Map<string, SpecByKind['organisation']>();
  const keys = new Map<string, SpecByKind['key']>();
  const routes = new Map<string, SpecByKind['route']>();
  const targets = new Map<string, SpecByKind['target']>();
  const budgets = new Map<string, SpecByKind['budget']>();
  for (const declaration of declarations) {
    const { kind, name, spec } = declaration;
    switch (kind) {
      case 'organisation':
        organisations.set(name, spec);
        break;
      case 'key':
        keys.set(name, spec);
        break;
      case 'route':
        routes.set(name, spec);
        break;
      case 'target':
        targets.set(name, spec);
        break;
      case 'budget':
        budgets.set(name, spec);
        break;
    }
  }
  return { revision, organisations, keys, routes, targets, budgets };
};
