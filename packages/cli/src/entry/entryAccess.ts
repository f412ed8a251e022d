import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { describeCommandError } from '../describeCommandError';
import { parseSetting } from '../settings/parseSetting';

/** Where entries are and the credential for them. */
export interface EntryAccess {
  readonly addresses: readonly string[];
  readonly credential: string;
}

/** Settings of a command that speaks to an entry. */
export interface EntrySettings {
  readonly entry: string | undefined;
  readonly key?: string | undefined;
  readonly operatorToken: string | undefined;
}

/** Both settings are checked before one is complained of. */
const accessWith = (
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
export const operatorAccess = ({
  entry,
  operatorToken,
}: EntrySettings): Result<EntryAccess, CommandError> =>
  accessWith(entry, parseSetting('operatorToken', operatorToken));

/** Checks the settings of a command for callers or operators; a caller's key goes first. */
export const callerAccess = (settings: EntrySettings): Result<EntryAccess, CommandError> => {
  if (settings.key !== undefined) {
    return accessWith(settings.entry, parseSetting('key', settings.key));
  }
  if (settings.operatorToken !== undefined) return operatorAccess(settings);
  const message =
    '--key (LIMPETNOTCH_KEY) or --operator-token (LIMPETNOTCH_OPERATOR_TOKEN) is missing: one of them must be given';
  return err({ kind: 'wrong-usage', messages: [message] });
};
