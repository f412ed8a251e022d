import type { Fault } from './fault';
import { createFault } from './createFault';
import type { ParsedObject } from './parsedObject';

/** Reports objects that share their kind and name with an earlier one. */
export const checkNames = (objects: readonly ParsedObject[]): Fault[] => {
  const seen = new Map<string, ParsedObject>();
  return objects.flatMap((object) => {
    const identifier = `${object.kind}/${object.name}`;
    const first = seen.get(identifier);
    if (!first) {
      seen.set(identifier, object);
      return [];
    }
    return [
      createFault(object, {
        problem: 'duplicate-name',
        message: `${identifier} is already declared at ${first.file}:${first.line}`,
        cure: 'rename or remove one of the two objects',
      }),
    ];
  });
};
