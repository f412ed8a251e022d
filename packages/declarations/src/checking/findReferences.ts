import type { DeclarationKind } from '../schemas/declaration';

/** Field that refers to another object, as a path relative to `spec`. */
interface ReferenceField {
  readonly path: readonly string[];
  readonly kind: DeclarationKind;
}

const REFERENCE_FIELDS: Readonly<Record<DeclarationKind, readonly ReferenceField[]>> = {
  organisation: [{ path: ['budget'], kind: 'budget' }],
  key: [{ path: ['organisation'], kind: 'organisation' }],
  route: [
    { path: ['targets'], kind: 'target' },
    { path: ['access', 'organisations'], kind: 'organisation' },
    { path: ['budget'], kind: 'budget' },
  ],
  target: [],
  budget: [{ path: ['parent'], kind: 'budget' }],
};

/** A reference found in a specification, with its path from the root of the document. */
export interface RawReference {
  readonly path: readonly (string | number)[];
  readonly kind: DeclarationKind;
  readonly name: string;
}

const getValueAt = (value: unknown, path: readonly string[]): unknown => {
  let current = value;
  for (const key of path) {
    if (typeof current !== 'object' || current === null || Array.isArray(current)) return undefined;
    current = Object.getOwnPropertyDescriptor(current, key)?.value;
  }
  return current;
};

/** Returns the references in an unchecked specification; values of other types are skipped. */
export const findReferences = (kind: DeclarationKind, spec: unknown): RawReference[] =>
  REFERENCE_FIELDS[kind].flatMap((field): RawReference[] => {
    const found = getValueAt(spec, field.path);
    const path = ['spec', ...field.path];
    if (typeof found === 'string') return [{ path, kind: field.kind, name: found }];
    if (!Array.isArray(found)) return [];
    return found.flatMap((name: unknown, index) =>
      typeof name === 'string' ? [{ path: [...path, index], kind: field.kind, name }] : [],
    );
  });
