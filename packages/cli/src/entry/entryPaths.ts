import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';

const PROGRAM_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._~-]*(\/[A-Za-z0-9][A-Za-z0-9._~-]*)*$/;
const DIGEST_PATTERN = /^[A-Za-z0-9:_-]{1,200}$/;

/** Prefix of the management paths, which are not calls to targets. */
const MANAGEMENT_PREFIX = '/limpetnotch/v1';

/** Path of the state of an entry. */
export const STATUS_PATH = `${MANAGEMENT_PREFIX}/status`;

/** Path of the quarantined requests. */
export const QUARANTINE_PATH = `${MANAGEMENT_PREFIX}/quarantine`;

/** Returns the path of a program; operators name its organisation, a caller's key identifies it. */
export const createProgramPath = (
  program: string,
  organisation: string | undefined,
): Result<string, CommandError> => {
  if (!PROGRAM_PATTERN.test(program)) {
    const message = `<program> is ${JSON.stringify(program)}: must be names of letters, digits, dots, underscores, tildes and hyphens, joined by slashes`;
    return err({ kind: 'wrong-usage', messages: [message] });
  }
  const query =
    organisation === undefined ? '' : `?organisation=${encodeURIComponent(organisation)}`;
  return ok(`${MANAGEMENT_PREFIX}/programs/${program}${query}`);
};

/** Returns the path of a quarantined request. */
export const createQuarantinedRequestPath = (digest: string): Result<string, CommandError> =>
  DIGEST_PATTERN.test(digest)
    ? ok(`${QUARANTINE_PATH}/${encodeURIComponent(digest)}`)
    : err({
        kind: 'wrong-usage',
        messages: [`<digest> is ${JSON.stringify(digest)}: must be a request's digest`],
      });
