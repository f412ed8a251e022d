import type { Configuration } from '../configuration';

/** Returns the number of objects of all kinds. */
export const countDeclarations = (configuration: Configuration): number =>
  configuration.organisations.size +
  configuration.keys.size +
  configuration.routes.size +
  configuration.targets.size +
  configuration.budgets.size;
