import type { DeclarationKind } from '../schemas/declaration';
import type { SpecByKind } from '../schemas/specByKind';
import type { ParsedObject } from './parsedObject';

/** An object whose own schema found no fault, with its specification. */
export interface CheckedObject<Kind extends DeclarationKind> {
  readonly object: ParsedObject;
  readonly spec: SpecByKind[Kind];
}

const specOf = <Kind extends DeclarationKind>(
  object: ParsedObject | undefined,
  kind: Kind,
): SpecByKind[Kind] | undefined =>
  object?.declaration?.kind === kind ? (object.declaration.spec as SpecByKind[Kind]) : undefined;

/** The declared objects of a set by kind and name; the first of a name counts. */
export class DeclarationTable {
  readonly #objects = new Map<DeclarationKind, Map<string, ParsedObject>>();

  constructor(objects: readonly ParsedObject[]) {
    for (const object of objects) {
      const named = this.#objects.get(object.kind) ?? new Map<string, ParsedObject>();
      this.#objects.set(object.kind, named);
      if (!named.has(object.name)) named.set(object.name, object);
    }
  }

  /** Returns an object, whether or not its own schema found faults. */
  find(kind: DeclarationKind, name: string): ParsedObject | undefined {
    return this.#objects.get(kind)?.get(name);
  }

  /** Returns the names of a kind. */
  names(kind: DeclarationKind): readonly string[] {
    return [...(this.#objects.get(kind)?.keys() ?? [])];
  }

  /** Returns a specification; undefined where the object is absent or has faults of its own. */
  spec<Kind extends DeclarationKind>(kind: Kind, name: string): SpecByKind[Kind] | undefined {
    return specOf(this.find(kind, name), kind);
  }

  /** Returns all objects of a kind whose own schema found no fault. */
  checked<Kind extends DeclarationKind>(kind: Kind): CheckedObject<Kind>[] {
    return [...(this.#objects.get(kind)?.values() ?? [])].flatMap((object) => {
      const spec = specOf(object, kind);
      return spec ? [{ object, spec }] : [];
    });
  }
}
