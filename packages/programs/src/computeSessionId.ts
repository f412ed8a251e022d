import { createHash } from 'node:crypto';
import type { ProgramIdentifier } from './programRecord';
import { programKey } from './util/programKey';

const SESSION_ID_CHARACTERS = 32;

/**
 * Returns the identifier of a program's session at engines: the first hexadecimal digits of a
 * SHA-256 of the program and the identifier of its first call, so that no two sessions share an
 * identifier.
 */
export const computeSessionId = (program: ProgramIdentifier, firstCallId: string): string =>
  createHash('sha256')
    .update(`${programKey(program)}\n${firstCallId}`)
    .digest('hex')
    .slice(0, SESSION_ID_CHARACTERS);
