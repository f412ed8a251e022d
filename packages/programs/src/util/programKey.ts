import type { ProgramIdentifier } from '../programRecord';

/**
 * Returns a map key for a program. The length of the organisation's name is a prefix of the key, so
 * that no two pairs of organisation and path share a key.
 */
export const programKey = ({ organisation, path }: ProgramIdentifier): string =>
  `${String(organisation.length)}:${organisation}/${path}`;
