import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { describeCommandError } from '../describeCommandError';
import { createProgramPath } from './entryPaths';
import { parseSetting } from '../settings/parseSetting';

/** Addresses of entries and the credential for them. */
export interface EntryAccess {
  readonly addresses: readonly string[];
  readonly credential: string;
}

/** Settings of a command that sends requests to an entry. */
export interface EntrySettings {
  readonly entry: string | undefined;
  readonly key?: string | undefined;
  readonly operatorToken: string | undefined;
}

/** Checks both settings, so that one error reports the faults of both. */
const checkAccess = (
  entry: string | undefined,
  credential: Result<string, CommandError>,
): Result<EntryAccess, CommandError> => {
  const addresses = parseSetting('entry', entry);
  if (addresses.isOk() && credential.isOk()) {
    return ok({ addresses: addresses.value, credential: credential.value });
  }
  const messages = [addresses, credential].flatMap((setting) =>
    setting.isErr() ? describeCommandError(setting.error) : [],
  );
  return err({ kind: 'wrong-usage', messages });
};

/** Checks the settings of a command for operators. */
export const checkOperatorAccess = ({
  entry,
  operatorToken,
}: EntrySettings): Result<EntryAccess, CommandError> =>
  checkAccess(entry, parseSetting('operatorToken', operatorToken));

/** Settings of a command about a program. */
export interface ProgramSettings extends EntrySettings {
  readonly program: string;
  readonly organisation: string | undefined;
}

/** A program at an entry, with the credential for it. */
export interface ProgramAccess extends EntryAccess {
  readonly path: string;
}

const addPath = (
  access: Result<EntryAccess, CommandError>,
  path: Result<string, CommandError>,
): Result<ProgramAccess, CommandError> =>
  access.andThen((entryAccess) => path.map((value) => ({ ...entryAccess, path: value })));

const createUsageError = (message: string): CommandError => ({
  kind: 'wrong-usage',
  messages: [message],
});

/**
 * Checks the settings of a command about a program. The operators' token requires the name of the
 * organisation; a caller's key identifies its organisation.
 */
export const checkProgramAccess = (
  settings: ProgramSettings,
): Result<ProgramAccess, CommandError> => {
  const { program, organisation, key, operatorToken } = settings;
  if (organisation !== undefined) {
    return addPath(checkOperatorAccess(settings), createProgramPath(program, organisation));
  }
  if (key !== undefined) {
    const access = checkAccess(settings.entry, parseSetting('key', key));
    return addPath(access, createProgramPath(program, undefined));
  }
  return err(
    createUsageError(
      operatorToken === undefined
        ? '--key (LIMPETNOTCH_KEY) is missing: must be a key of the organisation, or give --operator-token (LIMPETNOTCH_OPERATOR_TOKEN) and --organisation'
        : '--organisation is missing: must be the name of the organisation where --operator-token (LIMPETNOTCH_OPERATOR_TOKEN) is given and --key (LIMPETNOTCH_KEY) is not',
    ),
  );
};
