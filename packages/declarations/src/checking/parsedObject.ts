import type { Declaration, DeclarationKind } from '../schemas/declaration';
import type { Fault } from './fault';

/** A name of another object in a specification, with the line where it stands. */
export interface ParsedReference {
  /** Field that holds the name, such as `spec.targets`. */
  readonly field: string;
  readonly kind: DeclarationKind;
  readonly name: string;
  readonly line: number;
}

/** One object as it was declared; it takes part in the whole-set checks even with faults of its own. */
export interface ParsedObject {
  readonly file: string;
  readonly line: number;
  readonly kind: DeclarationKind;
  readonly name: string;
  readonly references: readonly ParsedReference[];
  /** The checked declaration; absent where the schema found faults. */
  readonly declaration: Declaration | undefined;
}

/** All objects of a set of files and the faults that reading them gave. */
export interface ParsedDeclarations {
  readonly objects: readonly ParsedObject[];
  readonly faults: readonly Fault[];
}
