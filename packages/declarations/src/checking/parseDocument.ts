import type { Document } from 'yaml';
import { declarationKindSchema, declarationSchema } from '../schemas/declaration';
import type { DeclarationKind } from '../schemas/declaration';
import type { DocumentLines } from './documentLines';
import type { Fault } from './fault';
import type { ParsedObject, ParsedReference } from './parsedObject';
import { referencesOf } from './referencesOf';
import { schemaFault } from './schemaFault';

const MAXIMUM_ALIASES = 100;
const MAXIMUM_SYNTAX_FAULTS = 5;

/** A YAML document with where it stands. */
export interface DocumentSource {
  readonly file: string;
  /** Place in the file, from 1. */
  readonly position: number;
  readonly document: Document.Parsed;
  readonly lines: DocumentLines;
}

/** What one document gave. */
export interface ParsedDocument {
  readonly object?: ParsedObject;
  readonly faults: readonly Fault[];
}

interface RawDeclaration {
  readonly kind?: unknown;
  readonly name?: unknown;
  readonly spec?: unknown;
}

const isRecord = (value: unknown): value is RawDeclaration =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const syntaxFaults = ({ file, position, document, lines }: DocumentSource): Fault[] =>
  document.errors.slice(0, MAXIMUM_SYNTAX_FAULTS).map((error) => ({
    file,
    line: lines.lineAt(error.pos[0]),
    object: `document ${position}`,
    problem: 'invalid-yaml',
    message: error.message,
    cure: 'write plain YAML documents of kind, name and spec',
  }));

const wholeFault = (
  { file, position, lines }: DocumentSource,
  text: Pick<Fault, 'problem' | 'message' | 'cure'>,
): ParsedDocument => ({
  faults: [{ file, line: lines.first(), object: `document ${position}`, ...text }],
});

const readReferences = (
  kind: DeclarationKind,
  spec: unknown,
  lines: DocumentLines,
): ParsedReference[] =>
  referencesOf(kind, spec).map(({ path, kind: referencedKind, name }) => ({
    field: path.filter((part) => typeof part === 'string').join('.'),
    kind: referencedKind,
    name,
    line: lines.at(path),
  }));

const parseObject = (
  source: DocumentSource,
  kind: DeclarationKind,
  raw: RawDeclaration,
): ParsedDocument => {
  const { file, position, lines } = source;
  const checked = declarationSchema.safeParse(raw, { reportInput: true });
  const name = typeof raw.name === 'string' ? raw.name : undefined;
  const object = name === undefined ? `document ${position}` : `${kind}/${name}`;
  const faults = (checked.error?.issues ?? []).map((issue) => ({
    file,
    line: lines.at(issue.path),
    object,
    ...schemaFault(issue),
  }));
  if (name === undefined) return { faults };
  return {
    object: {
      file,
      line: lines.first(),
      kind,
      name,
      references: readReferences(kind, raw.spec, lines),
      declaration: checked.data,
    },
    faults,
  };
};

/** Reads one YAML document into a declared object; an empty document gives nothing. */
export const parseDocument = (source: DocumentSource): ParsedDocument => {
  if (source.document.errors.length > 0) return { faults: syntaxFaults(source) };
  let raw: unknown;
  try {
    raw = source.document.toJS({ maxAliasCount: MAXIMUM_ALIASES });
  } catch (error) {
    return wholeFault(source, {
      problem: 'invalid-yaml',
      message: error instanceof Error ? error.message : String(error),
      cure: `use at most ${MAXIMUM_ALIASES} aliases a document, and little nesting`,
    });
  }
  if (raw === null || raw === undefined) return { faults: [] };
  if (!isRecord(raw)) {
    return wholeFault(source, {
      problem: 'invalid-value',
      message: 'the document is not a mapping',
      cure: 'write kind, name and spec',
    });
  }
  const kind = declarationKindSchema.safeParse(raw.kind);
  if (kind.success) return parseObject(source, kind.data, raw);
  return wholeFault(source, {
    problem: 'unknown-kind',
    message: `kind is ${JSON.stringify(raw.kind) ?? 'missing'}`,
    cure: `write one of ${declarationKindSchema.options.join(', ')}`,
  });
};
