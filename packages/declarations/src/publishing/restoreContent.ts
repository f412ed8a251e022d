import type { Configuration } from '../configuration';

/**
 * Restores an earlier configuration, but keeps the current keys, so that a rollback neither
 * reactivates a withdrawn key nor removes a key issued since. Keys of organisations that the
 * earlier configuration lacks are removed.
 */
export const restoreContent = (earlier: Configuration, current: Configuration): Configuration => ({
  ...earlier,
  keys: new Map(
    [...current.keys].filter(([, { organisation }]) => earlier.organisations.has(organisation)),
  ),
});
