import type { DeclarationKind } from '../schemas/declaration';

/** Where a kind of object names another one, as a path below `spec`. */
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

/** A reference found in a specification, with its path from the document's root. */
export interface RawReference {
  readonly path: readonly (string | number)[];
  readonly kind: DeclarationKind;
  readonly name: string;
}

const valueAt = (value: unknown, path: readonly string[]): unknown => {
  let current = value;
  for (const key of path) {
    if (typeof current !== 'object' || current === null || Array.isArray(current)) return undefined;
    current = Object.getOwnPropertyDescriptor(current, key)?.value;
  }
  return current;
};

/** Returns the names of other objects in an unchecked specification; other values are skipped. */
export const referencesOf = (kind: DeclarationKind, spec: unknown): RawReference[] =>
  REFERENCE_FIELDS[kind].flatMap((field): RawReference[] => {
    const found = valueAt(spec, field.path);
    const path = ['spec', ...field.path];
    if (typeof found === 'string') return [{ path, kind: field.kind, name: found }];
    if (!Array.isArray(found)) return [];
    return found.flatMap((name: unknown, index) =>
      typeof name === 'string' ? [{ path: [...path, index], kind: field.kind, name }] : [],
    );
  });
