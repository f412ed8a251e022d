import type { BudgetSpec } from '../schemas/budget';
import type { DeclarationTable } from './declarationTable';
import type { Fault } from './fault';
import { faultAt } from './faultAt';
import type { ParsedObject } from './parsedObject';

const LIMITS = ['tokens', 'calls', 'spendMicros', 'wallTimeSeconds'] as const;

const parentOf = (object: ParsedObject, table: DeclarationTable): ParsedObject | undefined => {
  const reference = object.references.find(({ field }) => field === 'spec.parent');
  return reference && table.find('budget', reference.name);
};

/** Follows parents from each budget; a budget that was reached before is not followed again. */
const findCycles = (table: DeclarationTable): ParsedObject[][] => {
  const finished = new Set<ParsedObject>();
  const cycles: ParsedObject[][] = [];
  for (const name of table.names('budget')) {
    const chain: ParsedObject[] = [];
    let current = table.find('budget', name);
    while (current && !finished.has(current)) {
      finished.add(current);
      chain.push(current);
      current = parentOf(current, table);
    }
    const start = current ? chain.indexOf(current) : -1;
    if (start >= 0) cycles.push(chain.slice(start));
  }
  return cycles;
};

const cycleFault = (cycle: readonly ParsedObject[]): Fault[] => {
  const [first] = cycle;
  if (!first) return [];
  const path = [...cycle, first].map(({ name }) => name).join(' -> ');
  return [
    faultAt(first, {
      problem: 'budget-cycle',
      message: `parents form a cycle: ${path}`,
      cure: 'remove the parent of one of these budgets',
    }),
  ];
};

/** Returns the nearest limit above a budget; the number of budgets bounds the walk. */
const inheritedLimit = (
  object: ParsedObject,
  limit: (typeof LIMITS)[number],
  table: DeclarationTable,
): { readonly from: string; readonly value: number } | undefined => {
  const visited = new Set([object]);
  let ancestor = parentOf(object, table);
  while (ancestor && !visited.has(ancestor)) {
    visited.add(ancestor);
    const value = table.spec('budget', ancestor.name)?.[limit];
    if (value !== undefined) return { from: ancestor.name, value };
    ancestor = parentOf(ancestor, table);
  }
  return undefined;
};

const limitFaults = (object: ParsedObject, spec: BudgetSpec, table: DeclarationTable): Fault[] =>
  LIMITS.flatMap((limit) => {
    const own = spec[limit];
    const inherited = own === undefined ? undefined : inheritedLimit(object, limit, table);
    if (own === undefined || !inherited || own <= inherited.value) return [];
    return [
      faultAt(object, {
        problem: 'limit-above-parent',
        message: `spec.${limit} is ${own}, above ${inherited.value} of budget/${inherited.from}`,
        cure: `lower spec.${limit} to at most ${inherited.value}, or raise the parent's`,
      }),
    ];
  });

/** Finds cycles of parents, and limits above those of a parent. */
export const checkBudgets = (table: DeclarationTable): Fault[] => [
  ...findCycles(table).flatMap(cycleFault),
  ...table.checked('budget').flatMap(({ object, spec }) => limitFaults(object, spec, table)),
];
