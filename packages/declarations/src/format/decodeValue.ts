import { err, ok, Result } from 'neverthrow';
import { z } from 'zod';
import type { FormatError } from './formatError';
import { FORMAT_VERSION } from './formatVersion';

const versionedSchema = z.looseObject({ formatVersion: z.int().positive() });

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => 'not JSON',
);

const describeFirstIssue = (error: z.ZodError): string => {
  const [issue] = error.issues;
  return issue ? `${issue.path.map(String).join('.')}: ${issue.message}` : 'invalid';
};

/**
 * Parses a stored value; checks the version first, as a newer format may differ in every other
 * field.
 */
export const decodeValue = <Schema extends z.ZodType>(
  schema: Schema,
  name: string,
  text: string,
): Result<z.output<Schema>, FormatError> => {
  const toCorruptError = (detail: string): FormatError => ({
    kind: 'corrupt',
    value: name,
    detail,
  });
  const raw = parseJson(text);
  if (raw.isErr()) return err(toCorruptError(raw.error));
  const versioned = versionedSchema.safeParse(raw.value);
  if (!versioned.success) return err(toCorruptError(describeFirstIssue(versioned.error)));
  const { formatVersion } = versioned.data;
  if (formatVersion > FORMAT_VERSION) {
    return err({
      kind: 'newer-format',
      value: name,
      found: formatVersion,
      supported: FORMAT_VERSION,
    });
  }
  const parsed = schema.safeParse(raw.value);
  return parsed.success ? ok(parsed.data) : err(toCorruptError(describeFirstIssue(parsed.error)));
};
