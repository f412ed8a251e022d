import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { parseSetting } from './parseSetting';

const DEFAULT_AUTHOR = 'operator';

/** Returns the author of a revision: the setting, or else the environment's user. */
export const resolveAuthor = (
  setting: string | undefined,
  environment: Readonly<Record<string, string | undefined>>,
): Result<string, CommandError> =>
  parseSetting('author', setting ?? environment.USER ?? DEFAULT_AUTHOR);
