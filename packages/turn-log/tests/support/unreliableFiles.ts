import type { SegmentFile, SegmentFiles } from '../../src/segmentFiles';

/** A file, and the part of it that survives a power loss. */
interface StoredFile {
  bytes: Buffer;
  syncedBytes: number;
  isNameSynced: boolean;
}

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
export type Draw = () => number;

const createDiskFullError = (): Error =>
  Object.assign(new Error('no space left'), { code: 'ENOSPC' });

/**
 * In-memory files with simulated power loss: unsynced bytes are kept, lost or torn, and names whose
 * directory was not synced are kept or lost. Writes and syncs fail as a test requests.
 */
export class UnreliableFiles implements SegmentFiles {
  readonly stored = new Map<string, StoredFile>();

  syncs = 0;

  /** Total size of all files above which writes fail; a part of a failed write may be kept. */
  capacityBytes = Infinity;

  /** Number of upcoming syncs that fail. */
  failingSyncs = 0;

  /** Total size of all files. */
  get usedBytes(): number {
    return [...this.stored.values()].reduce((sum, { bytes }) => sum + bytes.length, 0);
  }

  list(): Promise<readonly string[]> {
    return Promise.resolve([...this.stored.keys()]);
  }

  async create(name: string): Promise<SegmentFile> {
    if (this.stored.has(name)) throw new Error(`${name} exists`);
    const file: StoredFile = { bytes: Buffer.alloc(0), syncedBytes: 0, isNameSynced: false };
    this.stored.set(name, file);
    return {
      append: (bytes) => this.#append(file, bytes),
      sync: () => this.#sync(file),
      close: async () => undefined,
    };
  }

  async syncDirectory(): Promise<void> {
    this.stored.forEach((file) => {
      Object.assign(file, { isNameSynced: true });
    });
  }

  async read(name: string, offset: number, length: number): Promise<Buffer> {
    return Buffer.from(this.#get(name).bytes.subarray(offset, offset + length));
  }

  async readAll(name: string): Promise<Buffer> {
    return Buffer.from(this.#get(name).bytes);
  }

  async remove(name: string): Promise<void> {
    this.stored.delete(name);
  }

  /** Simulates a power loss. */
  losePower(draw: Draw): void {
    this.stored.forEach((file, name) => {
      if (!file.isNameSynced && draw() < 0.5) {
        this.stored.delete(name);
        return;
      }
      const { syncedBytes, bytes } = file;
      const kept = syncedBytes + Math.floor(draw() * (bytes.length - syncedBytes + 1));
      const survived = Buffer.from(bytes.subarray(0, kept));
      // A part of the unsynced bytes may never have reached the disk.
      const zeroedEnd = syncedBytes + Math.floor(draw() * (kept - syncedBytes + 1));
      if (draw() < 0.5) survived.fill(0, syncedBytes, zeroedEnd);
      Object.assign(file, { bytes: survived, syncedBytes: survived.length, isNameSynced: true });
    });
  }

  async #append(file: StoredFile, bytes: Buffer): Promise<void> {
    const room = Math.max(0, this.capacityBytes - this.usedBytes);
    Object.assign(file, { bytes: Buffer.concat([file.bytes, bytes.subarray(0, room)]) });
    if (room < bytes.length) throw createDiskFullError();
  }

  async #sync(file: StoredFile): Promise<void> {
    this.syncs += 1;
    await new Promise(setImmediate);
    if (this.failingSyncs > 0) {
      this.failingSyncs -= 1;
      throw Object.assign(new Error('input/output error'), { code: 'EIO' });
    }
    Object.assign(file, { syncedBytes: file.bytes.length });
  }

  #get(name: string): StoredFile {
    const file = this.stored.get(name);
    if (!file) throw Object.assign(new Error(`${name} is missing`), { code: 'ENOENT' });
    return file;
  }
}
