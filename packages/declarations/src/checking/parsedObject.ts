import type { Declaration, DeclarationKind } from '../schemas/declaration';
import type { Fault } from './fault';

/** A reference to another object in a specification, with its line. */
export interface ParsedReference {
  /** Field that contains the reference, such as `spec.targets`. */
  readonly field: string;
  readonly kind: DeclarationKind;
  readonly name: string;
  readonly line: number;
}

/** A declared object; it is included in the checks of the complete set even if it is invalid. */
export interface ParsedObject {
  readonly file: string;
  readonly line: number;
  readonly kind: DeclarationKind;
  readonly name: string;
  readonly references: readonly ParsedReference[];
  /** The valid declaration; undefined where it violates the schema. */
  readonly declaration: Declaration | undefined;
}

/** All objects of a set of files, and the faults found while parsing them. */
export interface ParsedDeclarations {
  readonly objects: readonly ParsedObject[];
  readonly faults: readonly Fault[];
}
