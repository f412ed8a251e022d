import type { Configuration, RouteSpec } from '@limpetnotch/declarations';
import type { BudgetLimits } from '@limpetnotch/programs';

const MILLISECONDS_PER_SECOND = 1_000;

/** Returns a budget's limits, with those of its parents where it sets none. */
export const budgetLimitsOf = (
  configuration: Configuration,
  name: string | undefined,
): BudgetLimits => {
  const budget = name === undefined ? undefined : configuration.budgets.get(name);
  if (!budget) return {};
  const { tokens, calls, spendMicros, wallTimeSeconds } = budget;
  return {
    ...budgetLimitsOf(configuration, budget.parent),
    ...(tokens === undefined ? {} : { tokens }),
    ...(calls === undefined ? {} : { calls }),
    ...(spendMicros === undefined ? {} : { spendMicros }),
    ...(wallTimeSeconds === undefined
      ? {}
      : { wallTimeMilliseconds: wallTimeSeconds * MILLISECONDS_PER_SECOND }),
  };
};

/** Returns the limits of a program that starts on a route: the route's budget, or the organisation's. */
export const startLimitsOf = (
  configuration: Configuration,
  route: RouteSpec,
  organisation: string,
): BudgetLimits =>
  budgetLimitsOf(
    configuration,
    route.budget ?? configuration.organisations.get(organisation)?.budget,
  );
