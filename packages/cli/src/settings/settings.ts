import { z } from 'zod';

const MINIMUM_TOKEN_LENGTH = 16;
const MAXIMUM_SECRET_LENGTH = 512;
const MAXIMUM_AUTHOR_LENGTH = 200;

const addressesSchema = z
  .string()
  .transform((text) => text.split(',').map((address) => address.trim().replace(/\/+$/, '')))
  .pipe(z.array(z.url({ protocol: /^https?$/ })).min(1));

/** Schemas of the command line settings. */
export const settingSchemas = {
  store: addressesSchema,
  entry: addressesSchema,
  key: z
    .string()
    .min(1)
    .max(MAXIMUM_SECRET_LENGTH)
    .regex(/^[\x21-\x7e]+$/),
  operatorToken: z
    .string()
    .min(MINIMUM_TOKEN_LENGTH)
    .max(MAXIMUM_SECRET_LENGTH)
    .regex(/^[\x21-\x7e]+$/),
  author: z.string().min(1).max(MAXIMUM_AUTHOR_LENGTH),
  base: z
    .string()
    .regex(/^\d{1,15}$/)
    .transform(Number),
  revision: z
    .string()
    .regex(/^[1-9]\d{0,14}$/)
    .transform(Number),
} as const;

export type SettingName = keyof typeof settingSchemas;
export type SettingValue<Name extends SettingName> = z.output<(typeof settingSchemas)[Name]>;

/** Flag, variable and range of a setting for error messages; a secret's value is never shown. */
export interface SettingDescription {
  readonly flag: string;
  readonly variable: string | undefined;
  readonly range: string;
  readonly secret: boolean;
}

const ADDRESSES_RANGE = 'one or more addresses http(s)://host:port, separated by commas';

export const SETTING_DESCRIPTIONS: Readonly<Record<SettingName, SettingDescription>> = {
  store: { flag: '--store', variable: 'LIMPETNOTCH_STORE', range: ADDRESSES_RANGE, secret: false },
  entry: { flag: '--entry', variable: 'LIMPETNOTCH_ENTRY', range: ADDRESSES_RANGE, secret: false },
  key: {
    flag: '--key',
    variable: 'LIMPETNOTCH_KEY',
    range: `1 to ${MAXIMUM_SECRET_LENGTH} printable characters`,
    secret: true,
  },
  operatorToken: {
    flag: '--operator-token',
    variable: 'LIMPETNOTCH_OPERATOR_TOKEN',
    range: `${MINIMUM_TOKEN_LENGTH} to ${MAXIMUM_SECRET_LENGTH} printable characters`,
    secret: true,
  },
  author: {
    flag: '--author',
    variable: 'LIMPETNOTCH_AUTHOR',
    range: `1 to ${MAXIMUM_AUTHOR_LENGTH} characters`,
    secret: false,
  },
  base: {
    flag: '--base',
    variable: 'LIMPETNOTCH_BASE',
    range: 'a revision, a whole number from 0',
    secret: false,
  },
  revision: {
    flag: '<revision>',
    variable: undefined,
    range: 'a whole number from 1',
    secret: false,
  },
};
