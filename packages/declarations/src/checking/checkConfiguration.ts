import type { Configuration } from '../configuration';
import { listDeclarations } from '../listDeclarations';
import { declarationKindSchema, declarationSchema } from '../schemas/declaration';
import { checkDeclarations } from './checkDeclarations';
import type { Fault } from './fault';
import { createFault } from './createFault';
import type { ParsedDeclarations, ParsedObject } from './parsedObject';
import { findReferences } from './findReferences';
import { describeSchemaIssue } from './describeSchemaIssue';

const FILE_LABEL = 'configuration';
const NO_LINE = 0;

const parseConfiguration = (configuration: Configuration): ParsedDeclarations => {
  const objects: ParsedObject[] = [];
  const faults: Fault[] = [];
  for (const kind of declarationKindSchema.options) {
    for (const declared of listDeclarations(configuration, kind)) {
      const parsed = declarationSchema.safeParse(declared, { reportInput: true });
      const object: ParsedObject = {
        file: FILE_LABEL,
        line: NO_LINE,
        kind,
        name: declared.name,
        references: findReferences(kind, declared.spec).map((reference) => ({
          field: reference.path.filter((part) => typeof part === 'string').join('.'),
          kind: reference.kind,
          name: reference.name,
          line: NO_LINE,
        })),
        declaration: parsed.data,
      };
      objects.push(object);
      faults.push(
        ...(parsed.error?.issues ?? []).map((issue) =>
          createFault(object, describeSchemaIssue(issue)),
        ),
      );
    }
  }
  return { objects, faults };
};

/** Checks a configuration that was built in memory, and returns its faults, if any. */
export const checkConfiguration = (configuration: Configuration): readonly Fault[] =>
  checkDeclarations(parseConfiguration(configuration)).match(
    () => [],
    (faults) => faults,
  );
