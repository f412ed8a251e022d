import type { BudgetSpec } from '../schemas/budget';
import type { DeclarationTable } from './declarationTable';
import type { Fault } from './fault';
import { createFault } from './createFault';
import type { ParsedObject } from './parsedObject';

const LIMITS = ['tokens', 'calls', 'spendMicros', 'wallTimeSeconds'] as const;

const findParent = (object: ParsedObject, table: DeclarationTable): ParsedObject | undefined => {
  const reference = object.references.find(({ field }) => field === 'spec.parent');
  return reference && table.find('budget', reference.name);
};

/** Follows the parents of each budget; each budget is visited only once. */
const findCycles = (table: DeclarationTable): ParsedObject[][] => {
  const finished = new Set<ParsedObject>();
  const cycles: ParsedObject[][] = [];
  for (const name of table.listNames('budget')) {
    const chain: ParsedObject[] = [];
    let current = table.find('budget', name);
    while (current && !finished.has(current)) {
      finished.add(current);
      chain.push(current);
      current = findParent(current, table);
    }
    const start = current ? chain.indexOf(current) : -1;
    if (start >= 0) cycles.push(chain.slice(start));
  }
  return cycles;
};

const toCycleFaults = (cycle: readonly ParsedObject[]): Fault[] => {
  const [first] = cycle;
  if (!first) return [];
  const path = [...cycle, first].map(({ name }) => name).join(' -> ');
  return [
    createFault(first, {
      problem: 'budget-cycle',
      message: `parent budgets form a cycle: ${path}`,
      cure: 'remove the parent of one of these budgets',
    }),
  ];
};

/** Returns the limit of the nearest ancestor that sets one; stops when the parents form a cycle. */
const findInheritedLimit = (
  object: ParsedObject,
  limit: (typeof LIMITS)[number],
  table: DeclarationTable,
): { readonly from: string; readonly value: number } | undefined => {
  const visited = new Set([object]);
  let ancestor = findParent(object, table);
  while (ancestor && !visited.has(ancestor)) {
    visited.add(ancestor);
    const value = table.findSpec('budget', ancestor.name)?.[limit];
    if (value !== undefined) return { from: ancestor.name, value };
    ancestor = findParent(ancestor, table);
  }
  return undefined;
};

const findLimitFaults = (
  object: ParsedObject,
  spec: BudgetSpec,
  table: DeclarationTable,
): Fault[] =>
  LIMITS.flatMap((limit) => {
    const own = spec[limit];
    const inherited = own === undefined ? undefined : findInheritedLimit(object, limit, table);
    if (own === undefined || !inherited || own <= inherited.value) return [];
    return [
      createFault(object, {
        problem: 'limit-above-parent',
        message: `spec.${limit} is ${own}, which exceeds ${inherited.value} of budget/${inherited.from}`,
        cure: `lower spec.${limit} to at most ${inherited.value}, or raise the limit of the parent`,
      }),
    ];
  });

/** Reports cycles of parent budgets, and limits that exceed the limit of an ancestor. */
export const checkBudgets = (table: DeclarationTable): Fault[] => [
  ...findCycles(table).flatMap(toCycleFaults),
  ...table.listValid('budget').flatMap(({ object, spec }) => findLimitFaults(object, spec, table)),
];
