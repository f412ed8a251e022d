import type { Configuration } from '../configuration';
import { declarationsOf } from '../declarationsOf';
import { declarationKindSchema, declarationSchema } from '../schemas/declaration';
import { checkDeclarations } from './checkDeclarations';
import type { Fault } from './fault';
import { faultAt } from './faultAt';
import type { ParsedDeclarations, ParsedObject } from './parsedObject';
import { referencesOf } from './referencesOf';
import { schemaFault } from './schemaFault';

const PLACE = 'configuration';
const NO_LINE = 0;

const parseConfiguration = (configuration: Configuration): ParsedDeclarations => {
  const objects: ParsedObject[] = [];
  const faults: Fault[] = [];
  for (const kind of declarationKindSchema.options) {
    for (const declared of declarationsOf(configuration, kind)) {
      const checked = declarationSchema.safeParse(declared, { reportInput: true });
      const object: ParsedObject = {
        file: PLACE,
        line: NO_LINE,
        kind,
        name: declared.name,
        references: referencesOf(kind, declared.spec).map((reference) => ({
          field: reference.path.filter((part) => typeof part === 'string').join('.'),
          kind: reference.kind,
          name: reference.name,
          line: NO_LINE,
        })),
        declaration: checked.data,
      };
      objects.push(object);
      faults.push(
        ...(checked.error?.issues ?? []).map((issue) => faultAt(object, schemaFault(issue))),
      );
    }
  }
  return { objects, faults };
};

/** Checks a configuration that was put together in memory; returns its faults, if any. */
export const checkConfiguration = (configuration: Configuration): readonly Fault[] =>
  checkDeclarations(parseConfiguration(configuration)).match(
    () => [],
    (faults) => faults,
  );
