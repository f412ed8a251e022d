import type { Fault } from './fault';
import type { ParsedObject } from './parsedObject';

/** Builds a fault of an object, at a line of it or at its first one. */
export const faultAt = (
  object: ParsedObject,
  text: Pick<Fault, 'problem' | 'message' | 'cure'>,
  line: number = object.line,
): Fault => ({ file: object.file, line, object: `${object.kind}/${object.name}`, ...text });
