import { crc32 } from 'node:zlib';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import type { Turn } from '@limpetnotch/peer-protocol';
import { TurnSchema } from '@limpetnotch/peer-protocol';

/** Marks the start of a record, so that a scan goes on behind a damaged one. */
const MARK = Buffer.from('ltr1', 'latin1');
const LENGTH_OFFSET = MARK.length;
const CHECKSUM_OFFSET = LENGTH_OFFSET + 4;

const CHECKSUM_BYTES = 4;

/** Bytes of a record before the turn: mark, length of the turn, checksum of the turn. */
const HEADER_BYTES = CHECKSUM_OFFSET + CHECKSUM_BYTES;

/** A whole record among bytes of a log. */
export interface FoundRecord {
  readonly turn: Turn;
  readonly offset: number;
  /** Bytes of the whole record. */
  readonly length: number;
}

/** Whole records among bytes of a log, and how many bytes belong to none. */
export interface ScannedRecords {
  readonly records: readonly FoundRecord[];
  readonly lostBytes: number;
}

const isMarked = (bytes: Buffer, offset: number): boolean =>
  bytes.compare(MARK, 0, MARK.length, offset, offset + MARK.length) === 0;

const decodeTurn = (payload: Buffer): Turn | undefined => {
  try {
    return fromBinary(TurnSchema, payload);
  } catch {
    // Counted as lost by the scan, and reported with its place.
    return undefined;
  }
};

/** Returns the record of a turn. */
export const encodeRecord = (turn: Turn): Buffer => {
  const payload = toBinary(TurnSchema, turn);
  const header = Buffer.alloc(HEADER_BYTES);
  MARK.copy(header);
  header.writeUInt32LE(payload.length, LENGTH_OFFSET);
  header.writeUInt32LE(crc32(payload), CHECKSUM_OFFSET);
  return Buffer.concat([header, payload]);
};

/** Returns the record that begins at an offset; undefined where none does, or it is damaged. */
export const decodeRecord = (bytes: Buffer, offset: number): FoundRecord | undefined => {
  const start = offset + HEADER_BYTES;
  if (start > bytes.length || !isMarked(bytes, offset)) return undefined;
  const end = start + bytes.readUInt32LE(offset + LENGTH_OFFSET);
  if (end > bytes.length) return undefined;
  const payload = bytes.subarray(start, end);
  if (crc32(payload) !== bytes.readUInt32LE(offset + CHECKSUM_OFFSET)) return undefined;
  const turn = decodeTurn(payload);
  return turn && { turn, offset, length: end - offset };
};

/** Finds the whole records among bytes of a log; a damaged one costs no other. */
export const scanRecords = (bytes: Buffer): ScannedRecords => {
  const records: FoundRecord[] = [];
  let lostBytes = 0;
  let offset = 0;
  while (offset < bytes.length) {
    const record = decodeRecord(bytes, offset);
    if (record) {
      records.push(record);
      offset += record.length;
    } else {
      const next = bytes.indexOf(MARK, offset + 1);
      const resumed = next < 0 ? bytes.length : next;
      lostBytes += resumed - offset;
      offset = resumed;
    }
  }
  return { records, lostBytes };
};
