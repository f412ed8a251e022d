import { access, mkdir, open, rm } from 'node:fs/promises';
import { join } from 'node:path';
import type { CompletenessMarker } from './completenessMarker';

const FILE_NAME = 'complete';

const syncPath = async (path: string, flags: string): Promise<void> => {
  const handle = await open(path, flags);
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/** Opens the marker in the directory of a log. */
export const openCompletenessMarker = (directory: string): CompletenessMarker => {
  const path = join(directory, FILE_NAME);
  return {
    exists: () =>
      access(path).then(
        () => true,
        () => false,
      ),
    write: async () => {
      await mkdir(directory, { recursive: true });
      await syncPath(path, 'a');
      await syncPath(directory, 'r');
    },
    remove: async () => {
      await rm(path, { force: true });
      await syncPath(directory, 'r');
    },
  };
};
