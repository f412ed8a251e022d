import type { Fault } from '../checking/fault';
import type { Configuration } from '../configuration';
import type { Declaration } from '../schemas/declaration';

/** Finds keys that the base has withdrawn and the next set would make active, by their digests. */
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
        message: `the key was withdrawn as key/${declaration.name} and can't be active again`,
        cure: 'declare it with state: withdrawn, or issue a new key',
      },
    ];
  });
};
