import type { DeclarationTable } from './declarationTable';
import type { Fault } from './fault';
import { createFault } from './createFault';

/** Reports keys with equal digests, as one secret would then identify two keys. */
export const checkKeys = (table: DeclarationTable): Fault[] => {
  const seen = new Map<string, string>();
  return table.listValid('key').flatMap(({ object, spec }) => {
    const first = seen.get(spec.digest);
    if (first === undefined) {
      seen.set(spec.digest, object.name);
      return [];
    }
    return [
      createFault(object, {
        problem: 'duplicate-key-digest',
        message: `spec.digest is already used by key/${first}`,
        cure: 'issue a new key, or remove one of the two keys',
      }),
    ];
  });
};
