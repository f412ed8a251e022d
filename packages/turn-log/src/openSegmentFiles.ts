import { mkdir, open, readdir, readFile, rm } from 'node:fs/promises';
import { join } from 'node:path';
import type { SegmentFile, SegmentFiles } from './segmentFiles';

const createFile = async (path: string): Promise<SegmentFile> => {
  const handle = await open(path, 'ax');
  return {
    append: (bytes) => handle.appendFile(bytes),
    sync: () => handle.datasync(),
    close: () => handle.close(),
  };
};

const readRange = async (path: string, offset: number, length: number): Promise<Buffer> => {
  const handle = await open(path, 'r');
  try {
    const { buffer, bytesRead } = await handle.read(Buffer.alloc(length), 0, length, offset);
    return buffer.subarray(0, bytesRead);
  } finally {
    await handle.close();
  }
};

const syncDirectory = async (path: string): Promise<void> => {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/** Opens the files of a log in a directory, which is created if it does not exist. */
export const openSegmentFiles = async (directory: string): Promise<SegmentFiles> => {
  await mkdir(directory, { recursive: true });
  const toPath = (name: string): string => join(directory, name);
  return {
    list: () => readdir(directory),
    create: (name) => createFile(toPath(name)),
    syncDirectory: () => syncDirectory(directory),
    read: (name, offset, length) => readRange(toPath(name), offset, length),
    readAll: (name) => readFile(toPath(name)),
    remove: (name) => rm(toPath(name), { force: true }),
  };
};
