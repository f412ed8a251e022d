import { isDeepStrictEqual } from 'node:util';
import type { Configuration } from './configuration';
import { declarationsOf } from './declarationsOf';
import type { Declaration, DeclarationKind } from './schemas/declaration';
import { declarationKindSchema } from './schemas/declaration';

/** One object that differs between two configurations. */
export interface ConfigurationChange {
  readonly change: 'added' | 'removed' | 'changed';
  readonly kind: DeclarationKind;
  readonly name: string;
  /** Fields of the specification that differ; empty where the object was added or removed. */
  readonly fields: readonly string[];
}

const differingFields = (before: Declaration, after: Declaration): string[] => {
  const old = new Map<string, unknown>(Object.entries(before.spec));
  const recent = new Map<string, unknown>(Object.entries(after.spec));
  return [...new Set([...old.keys(), ...recent.keys()])].filter(
    (field) => !isDeepStrictEqual(old.get(field), recent.get(field)),
  );
};

const changesOf = (
  kind: DeclarationKind,
  before: Configuration,
  after: Configuration,
): ConfigurationChange[] => {
  const old = new Map(declarationsOf(before, kind).map((object) => [object.name, object]));
  const recent = new Map(declarationsOf(after, kind).map((object) => [object.name, object]));
  const names = [...new Set([...old.keys(), ...recent.keys()])].sort();
  return names.flatMap((name): ConfigurationChange[] => {
    const was = old.get(name);
    const is = recent.get(name);
    if (!was) return [{ change: 'added', kind, name, fields: [] }];
    if (!is) return [{ change: 'removed', kind, name, fields: [] }];
    const fields = differingFields(was, is);
    return fields.length > 0 ? [{ change: 'changed', kind, name, fields }] : [];
  });
};

/** Returns the objects that differ between two configurations, by kind and name. */
export const diffConfigurations = (
  before: Configuration,
  after: Configuration,
): ConfigurationChange[] =>
  declarationKindSchema.options.flatMap((kind) => changesOf(kind, before, after));
