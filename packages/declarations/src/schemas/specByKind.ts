import type { BudgetSpec } from './budget';
import type { KeySpec } from './key';
import type { OrganisationSpec } from './organisation';
import type { RouteSpec } from './route';
import type { TargetSpec } from './target';

/** Specification type of each kind of object. */
export interface SpecByKind {
  readonly organisation: OrganisationSpec;
  readonly key: KeySpec;
  readonly route: RouteSpec;
  readonly target: TargetSpec;
  readonly budget: BudgetSpec;
}
