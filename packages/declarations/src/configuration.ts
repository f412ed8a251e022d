import type { BudgetSpec } from './schemas/budget';
import type { KeySpec } from './schemas/key';
import type { OrganisationSpec } from './schemas/organisation';
import type { RouteSpec } from './schemas/route';
import type { TargetSpec } from './schemas/target';

/** A complete, valid set of declarations as one revision; all maps are keyed by object name. */
export interface Configuration {
  /**
   * Number of the revision, raised by each publish; 0 for the empty set before the first publish.
   */
  readonly revision: number;
  readonly organisations: ReadonlyMap<string, OrganisationSpec>;
  readonly keys: ReadonlyMap<string, KeySpec>;
  readonly routes: ReadonlyMap<string, RouteSpec>;
  readonly targets: ReadonlyMap<string, TargetSpec>;
  readonly budgets: ReadonlyMap<string, BudgetSpec>;
}
