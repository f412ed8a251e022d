import { isDeepStrictEqual } from 'node:util';
import type { Configuration } from './configuration';
import { listDeclarations } from './listDeclarations';
import type { Declaration, DeclarationKind } from './schemas/declaration';
import { declarationKindSchema } from './schemas/declaration';

/** An object that differs between two configurations. */
export interface ConfigurationChange {
  readonly change: 'added' | 'removed' | 'changed';
  readonly kind: DeclarationKind;
  readonly name: string;
  /** Fields of the specification that differ; empty where the object was added or removed. */
  readonly fields: readonly string[];
}

const findDifferingFields = (before: Declaration, after: Declaration): string[] => {
  const oldFields = new Map<string, unknown>(Object.entries(before.spec));
  const newFields = new Map<string, unknown>(Object.entries(after.spec));
  return [...new Set([...oldFields.keys(), ...newFields.keys()])].filter(
    (field) => !isDeepStrictEqual(oldFields.get(field), newFields.get(field)),
  );
};

const findChanges = (
  kind: DeclarationKind,
  before: Configuration,
  after: Configuration,
): ConfigurationChange[] => {
  const oldObjects = new Map(listDeclarations(before, kind).map((object) => [object.name, object]));
  const newObjects = new Map(listDeclarations(after, kind).map((object) => [object.name, object]));
  const names = [...new Set([...oldObjects.keys(), ...newObjects.keys()])].sort();
  return names.flatMap((name): ConfigurationChange[] => {
    const oldObject = oldObjects.get(name);
    const newObject = newObjects.get(name);
    if (!oldObject) return [{ change: 'added', kind, name, fields: [] }];
    if (!newObject) return [{ change: 'removed', kind, name, fields: [] }];
    const fields = findDifferingFields(oldObject, newObject);
    return fields.length > 0 ? [{ change: 'changed', kind, name, fields }] : [];
  });
};

/** Returns the objects that differ between two configurations, ordered by kind and name. */
export const diffConfigurations = (
  before: Configuration,
  after: Configuration,
): ConfigurationChange[] =>
  declarationKindSchema.options.flatMap((kind) => findChanges(kind, before, after));
