import type { ProgramIdentifier } from '../programRecord';

/**
 * Returns a map key for a program. The organisation's length comes first, so that no two pairs of
 * organisation and path share a key.
 */
export const programKey = ({ organisation, path }: ProgramIdentifier): string =>
  `${String(organisation.length)}:${organisation}/${path}`;
