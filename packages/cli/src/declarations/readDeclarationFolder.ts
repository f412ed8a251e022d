import { readdir, readFile } from 'node:fs/promises';
import { join, relative } from 'node:path';
import type { DeclarationFile } from '@limpetnotch/declarations';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';

const FILE_PATTERN = /\.ya?ml$/;
const MAXIMUM_FILES = 10_000;

const createUsageError = (message: string): CommandError => ({
  kind: 'wrong-usage',
  messages: [message],
});

const getErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const listFiles = async (folder: string): Promise<string[]> => {
  const entries = await readdir(folder, { recursive: true, withFileTypes: true });
  return entries
    .filter((entry) => entry.isFile() && FILE_PATTERN.test(entry.name))
    .map((entry) => join(entry.parentPath, entry.name))
    .sort();
};

const readDeclarationFile = async (folder: string, path: string): Promise<DeclarationFile> => ({
  path: join(folder, relative(folder, path)),
  text: new TextDecoder('utf-8', { fatal: true }).decode(await readFile(path)),
});

/** Reads all `.yaml` and `.yml` files under a folder, in the order of their paths. */
export const readDeclarationFolder = async (
  folder: string,
): Promise<Result<readonly DeclarationFile[], CommandError>> => {
  try {
    const paths = await listFiles(folder);
    if (paths.length === 0) {
      return err(createUsageError(`<folder> ${folder} holds no .yaml or .yml file`));
    }
    if (paths.length > MAXIMUM_FILES) {
      return err(createUsageError(`<folder> ${folder} holds more than ${MAXIMUM_FILES} files`));
    }
    const files: DeclarationFile[] = [];
    for (const path of paths) files.push(await readDeclarationFile(folder, path));
    return ok(files);
  } catch (error) {
    return err(createUsageError(`<folder> ${folder} can't be read: ${getErrorMessage(error)}`));
  }
};
