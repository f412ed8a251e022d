import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';
import type { Settings } from './settings';
import { toFlag, settingsSchema, toEnvironmentVariable } from './settings';

/** Settings whose values are never printed. */
const SECRET_SETTINGS = new Set(['operatorToken']);

const describeValue = (name: string, value: unknown): string => {
  if (value === undefined) return 'is missing';
  return SECRET_SETTINGS.has(name) ? 'has a wrong value' : `is ${JSON.stringify(value)}`;
};

const describeIssue = (
  issue: z.core.$ZodIssue,
  values: Readonly<Record<string, unknown>>,
): string => {
  const name = String(issue.path[0] ?? '');
  const value = describeValue(name, values[name]);
  return `${toFlag(name)} (${toEnvironmentVariable(name)}) ${value}: ${issue.message}`;
};

/** Validates settings; each error names the flag, the variable, the value and the valid range. */
export const parseSettings = (
  values: Readonly<Record<string, unknown>>,
): Result<Settings, readonly string[]> => {
  const parsed = settingsSchema.safeParse(values);
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.map((issue) => describeIssue(issue, values)));
};
