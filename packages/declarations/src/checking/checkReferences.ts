import type { DeclarationTable } from './declarationTable';
import type { Fault } from './fault';
import { createFault } from './createFault';
import type { ParsedObject } from './parsedObject';

/** Reports references to objects that the set doesn't declare. */
export const checkReferences = (
  objects: readonly ParsedObject[],
  table: DeclarationTable,
): Fault[] =>
  objects.flatMap((object) =>
    object.references
      .filter((reference) => !table.find(reference.kind, reference.name))
      .map((reference) =>
        createFault(
          object,
          {
            problem: 'dangling-reference',
            message: `${reference.field} refers to ${reference.kind}/${reference.name}, which is not declared`,
            cure: `declare ${reference.kind}/${reference.name}, or correct the name`,
          },
          reference.line,
        ),
      ),
  );
