import type { Configuration } from '@limpetnotch/declarations';

/** Returns a copy of a configuration in which the key at a position is withdrawn. */
export const withdrawKey = (configuration: Configuration, position: number): Configuration => {
  const [name, spec] = [...configuration.keys][position] ?? [];
  if (name === undefined || spec === undefined) return configuration;
  const keys = new Map([...configuration.keys, [name, { ...spec, state: 'withdrawn' as const }]]);
  return { ...configuration, keys };
};
