import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { parseSetting } from './parseSetting';

const UNNAMED_AUTHOR = 'operator';

/** Returns the operator whom conflicts name: the setting, else the user of the environment. */
export const authorOf = (
  setting: string | undefined,
  environment: Readonly<Record<string, string | undefined>>,
): Result<string, CommandError> =>
  parseSetting('author', setting ?? environment.USER ?? UNNAMED_AUTHOR);
