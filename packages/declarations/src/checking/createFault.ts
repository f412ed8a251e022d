import type { Fault } from './fault';
import type { ParsedObject } from './parsedObject';

/** Builds a fault of an object; the line defaults to the first line of the object. */
export const createFault = (
  object: ParsedObject,
  details: Pick<Fault, 'problem' | 'message' | 'cure'>,
  line: number = object.line,
): Fault => ({ file: object.file, line, object: `${object.kind}/${object.name}`, ...details });
