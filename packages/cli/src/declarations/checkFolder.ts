import { checkDeclarations, parseDeclarations } from '@limpetnotch/declarations';
import type { Configuration } from '@limpetnotch/declarations';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { readDeclarationFolder } from './readDeclarationFolder';

/** Reads and checks all declarations of a folder. */
export const checkFolder = async (folder: string): Promise<Result<Configuration, CommandError>> =>
  (await readDeclarationFolder(folder)).andThen((files) =>
    checkDeclarations(parseDeclarations(files)).mapErr((faults): CommandError => ({
      kind: 'faults',
      faults,
    })),
  );
