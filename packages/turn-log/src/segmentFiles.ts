/** An open append-only file of records. */
export interface SegmentFile {
  append(bytes: Buffer): Promise<void>;
  /** Resolves when all appended bytes are durable on the disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The files of a log, in one directory. All methods reject with the errors of the file system. */
export interface SegmentFiles {
  /** Names of all files. */
  list(): Promise<readonly string[]>;
  /** Creates an empty file; its name survives a power loss once the directory is synced. */
  create(name: string): Promise<SegmentFile>;
  syncDirectory(): Promise<void>;
  read(name: string, offset: number, length: number): Promise<Buffer>;
  readAll(name: string): Promise<Buffer>;
  remove(name: string): Promise<void>;
}
