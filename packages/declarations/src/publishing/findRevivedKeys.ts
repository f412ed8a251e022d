import type { Fault } from '../checking/fault';
import type { Configuration } from '../configuration';
import type { Declaration } from '../schemas/declaration';

/** Finds withdrawn keys of the base that the next configuration would reactivate, by digest. */
export const findRevivedKeys = (base: readonly Declaration[], next: Configuration): Fault[] => {
  const active = new Map(
    [...next.keys].flatMap(([name, { digest, state }]): [string, string][] =>
      state === 'active' ? [[digest, name]] : [],
    ),
  );
  return base.flatMap((declaration): Fault[] => {
    if (declaration.kind !== 'key' || declaration.spec.state !== 'withdrawn') return [];
    const name = active.get(declaration.spec.digest);
    if (name === undefined) return [];
    return [
      {
        file: 'configuration',
        line: 0,
        object: `key/${name}`,
        problem: 'revived-key',
        message: `the key was withdrawn as key/${declaration.name} and can't be reactivated`,
        cure: 'declare it with state: withdrawn, or issue a new key',
      },
    ];
  });
};
