import { createHash, randomUUID } from 'node:crypto';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';

const MAXIMUM_DEPTH = 8;
const MAXIMUM_KEY_LENGTH = 255;
const DIGEST_CHARACTERS = 32;

const segmentPattern = /^[A-Za-z0-9][A-Za-z0-9._~-]{0,127}$/;

const pathSchema = z
  .string()
  .refine(
    (path) => path.split('/').every((segment) => segmentPattern.test(segment)),
    'names of letters, digits, dots, underscores, tildes and hyphens, joined by slashes',
  )
  .refine((path) => path.split('/').length <= MAXIMUM_DEPTH, `at most ${MAXIMUM_DEPTH} levels`);

/** Headers of a call that identify its program. */
export const programHeadersSchema = z.object({
  'limpetnotch-program': pathSchema.optional(),
  'limpetnotch-parent': pathSchema.optional(),
  'limpetnotch-sequence': z.coerce.number().int().min(0).optional(),
  'idempotency-key': z.string().min(1).max(MAXIMUM_KEY_LENGTH).optional(),
});

export type ProgramHeaders = z.infer<typeof programHeadersSchema>;

/** Program and position to which a call belongs. */
export interface ProgramAddress {
  /** Names of the root program and its sub-agents, joined by `/`. */
  readonly path: string;
  readonly singleCall: boolean;
  readonly expectedSequence: number | undefined;
  readonly idempotencyKey: string;
}

const createSingleCallName = (idempotencyKey: string): string => {
  const digest = createHash('sha256').update(idempotencyKey).digest('hex');
  return `call-${digest.slice(0, DIGEST_CHARACTERS)}`;
};

const joinProgramPath = (parent: string | undefined, program: string): string =>
  parent === undefined || program.startsWith(`${parent}/`) ? program : `${parent}/${program}`;

/** Returns the program of a call; a call that names none is a single-call program. */
export const toProgramAddress = (headers: ProgramHeaders): ProgramAddress => {
  const idempotencyKey = headers['idempotency-key'] ?? `entry:${randomUUID()}`;
  const program = headers['limpetnotch-program'];
  return {
    path: joinProgramPath(
      headers['limpetnotch-parent'],
      program ?? createSingleCallName(idempotencyKey),
    ),
    singleCall: program === undefined,
    expectedSequence: headers['limpetnotch-sequence'],
    idempotencyKey,
  };
};

/** Parses the program headers; the error names the invalid one. */
export const parseProgramHeaders = (
  headers: Readonly<Record<string, unknown>>,
): Result<ProgramHeaders, string> => {
  const parsed = programHeadersSchema.safeParse(headers);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  return err(`header ${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'malformed'}`);
};
