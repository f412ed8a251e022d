import type { Commit } from './simulatedStore';

/** Keys that a process knows in a state which the store last had longer ago than the bound. */
export const findStaleKeys = (
  commits: readonly Commit[],
  known: ReadonlyMap<string, { readonly value: string }>,
  boundMilliseconds: number,
): readonly string[] => {
  const oldest = performance.now() - boundMilliseconds;
  const allowed = new Map<string, Set<string | undefined>>();
  commits
    .filter(({ key }) => key.startsWith('op/') || key.startsWith('servers/'))
    .forEach(({ key, value, atMilliseconds }) => {
      if (atMilliseconds <= oldest) allowed.set(key, new Set([value]));
      else allowed.set(key, (allowed.get(key) ?? new Set([undefined])).add(value));
    });
  return [...allowed]
    .filter(([key, values]) => !values.has(known.get(key)?.value))
    .map(([key]) => key);
};
