import type { Declaration } from './schemas/declaration';
import type { SpecByKind } from './schemas/specByKind';

/** The objects of a configuration that is being built. */
export interface MutableConfiguration {
  readonly organisations: Map<string, SpecByKind['organisation']>;
  readonly keys: Map<string, SpecByKind['key']>;
  readonly routes: Map<string, SpecByKind['route']>;
  readonly targets: Map<string, SpecByKind['target']>;
  readonly budgets: Map<string, SpecByKind['budget']>;
}

/** Adds an object, or replaces the one with its name. */
export const addDeclaration = (maps: MutableConfiguration, declaration: Declaration): void => {
  const { kind, name, spec } = declaration;
  switch (kind) {
    case 'organisation':
      maps.organisations.set(name, spec);
      break;
    case 'key':
      maps.keys.set(name, spec);
      break;
    case 'route':
      maps.routes.set(name, spec);
      break;
    case 'target':
      maps.targets.set(name, spec);
      break;
    case 'budget':
      maps.budgets.set(name, spec);
      break;
  }
};

export const removeDeclaration = (
  maps: MutableConfiguration,
  { kind, name }: Pick<Declaration, 'kind' | 'name'>,
): void => {
  switch (kind) {
    case 'organisation':
      maps.organisations.delete(name);
      break;
    case 'key':
      maps.keys.delete(name);
      break;
    case 'route':
      maps.routes.delete(name);
      break;
    case 'target':
      maps.targets.delete(name);
      break;
    case 'budget':
      maps.budgets.delete(name);
      break;
  }
};
