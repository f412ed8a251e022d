import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { z } from 'zod';
import type { CommandError } from '../commandError';
import { SETTING_DESCRIPTIONS, settingSchemas } from './settings';
import type { SettingName, SettingValue } from './settings';

const describe = (name: SettingName, value: string | undefined): string => {
  const { flag, variable, range, secret } = SETTING_DESCRIPTIONS[name];
  const given = secret ? 'has a wrong value (not shown)' : `is ${JSON.stringify(value)}`;
  const place = variable === undefined ? flag : `${flag} (${variable})`;
  return `${place} ${value === undefined ? 'is missing' : given}: must be ${range}`;
};

/** Checks a setting; the error names its flag, its variable, the value and the range. */
export const parseSetting = <Name extends SettingName>(
  name: Name,
  value: string | undefined,
): Result<SettingValue<Name>, CommandError> => {
  const schema: z.ZodType = settingSchemas[name];
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data as SettingValue<Name>);
  return err({ kind: 'wrong-usage', messages: [describe(name, value)] });
};
