import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { z } from 'zod';
import type { CommandError } from '../commandError';
import { SETTING_DESCRIPTIONS, settingSchemas } from './settings';
import type { SettingName, SettingValue } from './settings';

const describeInvalidSetting = (name: SettingName, value: string | undefined): string => {
  const { flag, variable, range, secret } = SETTING_DESCRIPTIONS[name];
  const problem = secret ? 'has a wrong value (not shown)' : `is ${JSON.stringify(value)}`;
  const settingLabel = variable === undefined ? flag : `${flag} (${variable})`;
  return `${settingLabel} ${value === undefined ? 'is missing' : problem}: must be ${range}`;
};

/** Parses a setting; the error contains its flag, its variable, the value and the range. */
export const parseSetting = <Name extends SettingName>(
  name: Name,
  value: string | undefined,
): Result<SettingValue<Name>, CommandError> => {
  const schema: z.ZodType = settingSchemas[name];
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data as SettingValue<Name>);
  return err({ kind: 'wrong-usage', messages: [describeInvalidSetting(name, value)] });
};
