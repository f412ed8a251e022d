import type { Fault } from './fault';
import { faultAt } from './faultAt';
import type { ParsedObject } from './parsedObject';

/** Finds objects whose kind and name stand twice. */
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
      faultAt(object, {
        problem: 'duplicate-name',
        message: `${identifier} is declared already at ${first.file}:${first.line}`,
        cure: 'rename or remove one of the two',
      }),
    ];
  });
};
