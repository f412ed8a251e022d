/** An open file to whose end records are written. */
export interface SegmentFile {
  append(bytes: Buffer): Promise<void>;
  /** Resolves when the disk holds all that was appended. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The files of a log, in one directory. All calls reject with the errors of the file system. */
export interface SegmentFiles {
  /** Names of all files. */
  list(): Promise<readonly string[]>;
  /** Creates an empty file; its name outlives a loss of power once the directory is synced. */
  create(name: string): Promise<SegmentFile>;
  syncDirectory(): Promise<void>;
  read(name: string, offset: number, length: number): Promise<Buffer>;
  readWhole(name: string): Promise<Buffer>;
  remove(name: string): Promise<void>;
}
