import type { Configuration } from '../configuration';

/**
 * Brings back an earlier configuration except for its keys, which stay as they are now: a rollback
 * neither revives a withdrawn key nor drops one issued since. Keys of organisations that the
 * earlier set lacks go.
 */
export const restoreContent = (earlier: Configuration, current: Configuration): Configuration => ({
  ...earlier,
  keys: new Map(
    [...current.keys].filter(([, { organisation }]) => earlier.organisations.has(organisation)),
  ),
});
