import type { Document } from 'yaml';
import { declarationKindSchema, declarationSchema } from '../schemas/declaration';
import type { DeclarationKind } from '../schemas/declaration';
import type { DocumentLines } from './documentLines';
import type { Fault } from './fault';
import type { ParsedObject, ParsedReference } from './parsedObject';
import { findReferences } from './findReferences';
import { describeSchemaIssue } from './describeSchemaIssue';

const MAXIMUM_ALIASES = 100;
const MAXIMUM_SYNTAX_FAULTS = 5;

/** A YAML document with its position. */
export interface DocumentSource {
  readonly file: string;
  /** Index of the document in the file, starting at 1. */
  readonly position: number;
  readonly document: Document.Parsed;
  readonly lines: DocumentLines;
}

/** Result of parsing one document. */
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

const toSyntaxFaults = ({ file, position, document, lines }: DocumentSource): Fault[] =>
  document.errors.slice(0, MAXIMUM_SYNTAX_FAULTS).map((error) => ({
    file,
    line: lines.lineAtOffset(error.pos[0]),
    object: `document ${position}`,
    problem: 'invalid-yaml',
    message: error.message,
    cure: 'write plain YAML documents with kind, name and spec',
  }));

const rejectDocument = (
  { file, position, lines }: DocumentSource,
  details: Pick<Fault, 'problem' | 'message' | 'cure'>,
): ParsedDocument => ({
  faults: [{ file, line: lines.firstLine(), object: `document ${position}`, ...details }],
});

const locateReferences = (
  kind: DeclarationKind,
  spec: unknown,
  lines: DocumentLines,
): ParsedReference[] =>
  findReferences(kind, spec).map(({ path, kind: referencedKind, name }) => ({
    field: path.filter((part) => typeof part === 'string').join('.'),
    kind: referencedKind,
    name,
    line: lines.lineAtPath(path),
  }));

const parseObject = (
  source: DocumentSource,
  kind: DeclarationKind,
  raw: RawDeclaration,
): ParsedDocument => {
  const { file, position, lines } = source;
  const parsed = declarationSchema.safeParse(raw, { reportInput: true });
  const name = typeof raw.name === 'string' ? raw.name : undefined;
  const object = name === undefined ? `document ${position}` : `${kind}/${name}`;
  const faults = (parsed.error?.issues ?? []).map((issue) => ({
    file,
    line: lines.lineAtPath(issue.path),
    object,
    ...describeSchemaIssue(issue),
  }));
  if (name === undefined) return { faults };
  return {
    object: {
      file,
      line: lines.firstLine(),
      kind,
      name,
      references: locateReferences(kind, raw.spec, lines),
      declaration: parsed.data,
    },
    faults,
  };
};

/**
 * Parses a YAML document into a declared object; an empty document yields no object and no fault.
 */
export const parseDocument = (source: DocumentSource): ParsedDocument => {
  if (source.document.errors.length > 0) return { faults: toSyntaxFaults(source) };
  let raw: unknown;
  try {
    raw = source.document.toJS({ maxAliasCount: MAXIMUM_ALIASES });
  } catch (error) {
    return rejectDocument(source, {
      problem: 'invalid-yaml',
      message: error instanceof Error ? error.message : String(error),
      cure: `use at most ${MAXIMUM_ALIASES} aliases per document, and fewer levels of nesting`,
    });
  }
  if (raw === null || raw === undefined) return { faults: [] };
  if (!isRecord(raw)) {
    return rejectDocument(source, {
      problem: 'invalid-value',
      message: 'the document is not a mapping',
      cure: 'write a mapping with kind, name and spec',
    });
  }
  const kind = declarationKindSchema.safeParse(raw.kind);
  if (kind.success) return parseObject(source, kind.data, raw);
  return rejectDocument(source, {
    problem: 'unknown-kind',
    message: `kind is ${JSON.stringify(raw.kind) ?? 'missing'}`,
    cure: `write one of ${declarationKindSchema.options.join(', ')}`,
  });
};
