import type { DeclarationTable } from './declarationTable';
import type { Fault } from './fault';
import { faultAt } from './faultAt';

/** Finds keys with the same digest, which would make one secret stand for two identities. */
export const checkKeys = (table: DeclarationTable): Fault[] => {
  const seen = new Map<string, string>();
  return table.checked('key').flatMap(({ object, spec }) => {
    const first = seen.get(spec.digest);
    if (first === undefined) {
      seen.set(spec.digest, object.name);
      return [];
    }
    return [
      faultAt(object, {
        problem: 'duplicate-key-digest',
        message: `spec.digest is that of key/${first} already`,
        cure: 'issue a new key, or remove one of the two',
      }),
    ];
  });
};
