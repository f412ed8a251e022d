import type { Configuration, RouteSpec } from '@limpetnotch/declarations';
import type { BudgetLimits } from '@limpetnotch/programs';

const MILLISECONDS_PER_SECOND = 1_000;

/** Returns the limits of a budget; limits that it does not set are inherited from its parents. */
export const resolveBudgetLimits = (
  configuration: Configuration,
  name: string | undefined,
): BudgetLimits => {
  const budget = name === undefined ? undefined : configuration.budgets.get(name);
  if (!budget) return {};
  const { tokens, calls, spendMicros, wallTimeSeconds } = budget;
  return {
    ...resolveBudgetLimits(configuration, budget.parent),
    ...(tokens === undefined ? {} : { tokens }),
    ...(calls === undefined ? {} : { calls }),
    ...(spendMicros === undefined ? {} : { spendMicros }),
    ...(wallTimeSeconds === undefined
      ? {}
      : { wallTimeMilliseconds: wallTimeSeconds * MILLISECONDS_PER_SECOND }),
  };
};

/**
 * Returns the limits of a program started on a route: those of the route's or the organisation's
 * budget.
 */
export const resolveStartLimits = (
  configuration: Configuration,
  route: RouteSpec,
  organisation: string,
): BudgetLimits =>
  resolveBudgetLimits(
    configuration,
    route.budget ?? configuration.organisations.get(organisation)?.budget,
  );
