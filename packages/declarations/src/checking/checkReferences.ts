import type { DeclarationTable } from './declarationTable';
import type { Fault } from './fault';
import { faultAt } from './faultAt';
import type { ParsedObject } from './parsedObject';

/** Finds names of objects that the set doesn't declare. */
export const checkReferences = (
  objects: readonly ParsedObject[],
  table: DeclarationTable,
): Fault[] =>
  objects.flatMap((object) =>
    object.references
      .filter((reference) => !table.find(reference.kind, reference.name))
      .map((reference) =>
        faultAt(
          object,
          {
            problem: 'dangling-reference',
            message: `${reference.field} names ${reference.kind}/${reference.name}, which is not declared`,
            cure: `declare ${reference.kind}/${reference.name}, or correct the name`,
          },
          reference.line,
        ),
      ),
  );
