import type { DeclarationKind } from '../schemas/declaration';
import type { SpecByKind } from '../schemas/specByKind';
import type { ParsedObject } from './parsedObject';

/** An object that conforms to its schema, with its specification. */
export interface ValidObject<Kind extends DeclarationKind> {
  readonly object: ParsedObject;
  readonly spec: SpecByKind[Kind];
}

const getSpec = <Kind extends DeclarationKind>(
  object: ParsedObject | undefined,
  kind: Kind,
): SpecByKind[Kind] | undefined =>
  object?.declaration?.kind === kind ? (object.declaration.spec as SpecByKind[Kind]) : undefined;

/**
 * Index of the declared objects by kind and name; of objects with equal names, the first is used.
 */
export class DeclarationTable {
  readonly #objects = new Map<DeclarationKind, Map<string, ParsedObject>>();

  constructor(objects: readonly ParsedObject[]) {
    for (const object of objects) {
      const objectsByName = this.#objects.get(object.kind) ?? new Map<string, ParsedObject>();
      this.#objects.set(object.kind, objectsByName);
      if (!objectsByName.has(object.name)) objectsByName.set(object.name, object);
    }
  }

  /** Returns an object, whether or not it conforms to its schema. */
  find(kind: DeclarationKind, name: string): ParsedObject | undefined {
    return this.#objects.get(kind)?.get(name);
  }

  /** Returns the names of all objects of a kind. */
  listNames(kind: DeclarationKind): readonly string[] {
    return [...(this.#objects.get(kind)?.keys() ?? [])];
  }

  /** Returns a specification; undefined where the object is absent or violates its schema. */
  findSpec<Kind extends DeclarationKind>(kind: Kind, name: string): SpecByKind[Kind] | undefined {
    return getSpec(this.find(kind, name), kind);
  }

  /** Returns all objects of a kind that conform to their schema. */
  listValid<Kind extends DeclarationKind>(kind: Kind): ValidObject<Kind>[] {
    return [...(this.#objects.get(kind)?.values() ?? [])].flatMap((object) => {
      const spec = getSpec(object, kind);
      return spec ? [{ object, spec }] : [];
    });
  }
}
