import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Configuration } from '../configuration';
import { buildConfiguration } from '../buildConfiguration';
import { checkBudgets } from './checkBudgets';
import { checkKeys } from './checkKeys';
import { checkNames } from './checkNames';
import { checkReferences } from './checkReferences';
import { checkRoutes } from './checkRoutes';
import { DeclarationTable } from './declarationTable';
import type { Fault } from './fault';
import type { ParsedDeclarations } from './parsedObject';

const UNPUBLISHED_REVISION = 0;

const compareByPosition = (one: Fault, other: Fault): number =>
  one.file.localeCompare(other.file) || one.line - other.line;

/**
 * Checks a complete set of declarations. Returns it as a configuration of revision 0, or all of
 * its faults, sorted by file and line.
 */
export const checkDeclarations = (
  parsed: ParsedDeclarations,
): Result<Configuration, readonly Fault[]> => {
  const table = new DeclarationTable(parsed.objects);
  const faults = [
    ...parsed.faults,
    ...checkNames(parsed.objects),
    ...checkReferences(parsed.objects, table),
    ...checkBudgets(table),
    ...checkRoutes(table),
    ...checkKeys(table),
  ];
  if (faults.length > 0) return err(faults.sort(compareByPosition));
  return ok(
    buildConfiguration(
      UNPUBLISHED_REVISION,
      parsed.objects.flatMap(({ declaration }) => declaration ?? []),
    ),
  );
};
