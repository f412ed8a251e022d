import { crc32 } from 'node:zlib';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import type { Turn } from '@limpetnotch/peer-protocol';
import { TurnSchema } from '@limpetnotch/peer-protocol';

/** Magic bytes at the start of a record, which let a scan resume after a damaged record. */
const MAGIC = Buffer.from('ltr1', 'latin1');
const LENGTH_OFFSET = MAGIC.length;
const CHECKSUM_OFFSET = LENGTH_OFFSET + 4;

const CHECKSUM_BYTES = 4;

/** Size of the header: magic bytes, length of the turn, checksum of the turn. */
const HEADER_BYTES = CHECKSUM_OFFSET + CHECKSUM_BYTES;

/** A complete record in the bytes of a segment. */
export interface DecodedRecord {
  readonly turn: Turn;
  readonly offset: number;
  /** Bytes of the record, including its header. */
  readonly length: number;
}

/** Complete records in the bytes of a segment, and the number of bytes outside them. */
export interface ScannedRecords {
  readonly records: readonly DecodedRecord[];
  readonly lostBytes: number;
}

const hasMagic = (bytes: Buffer, offset: number): boolean =>
  bytes.compare(MAGIC, 0, MAGIC.length, offset, offset + MAGIC.length) === 0;

const decodeTurn = (payload: Buffer): Turn | undefined => {
  try {
    return fromBinary(TurnSchema, payload);
  } catch {
    // The scan counts these bytes as lost; a read reports the location of the record.
    return undefined;
  }
};

/** Encodes a turn as a record. */
export const encodeRecord = (turn: Turn): Buffer => {
  const payload = toBinary(TurnSchema, turn);
  const header = Buffer.alloc(HEADER_BYTES);
  MAGIC.copy(header);
  header.writeUInt32LE(payload.length, LENGTH_OFFSET);
  header.writeUInt32LE(crc32(payload), CHECKSUM_OFFSET);
  return Buffer.concat([header, payload]);
};

/** Decodes the record at an offset; `undefined` if no record starts there or it is damaged. */
export const decodeRecord = (bytes: Buffer, offset: number): DecodedRecord | undefined => {
  const start = offset + HEADER_BYTES;
  if (start > bytes.length || !hasMagic(bytes, offset)) return undefined;
  const end = start + bytes.readUInt32LE(offset + LENGTH_OFFSET);
  if (end > bytes.length) return undefined;
  const payload = bytes.subarray(start, end);
  if (crc32(payload) !== bytes.readUInt32LE(offset + CHECKSUM_OFFSET)) return undefined;
  const turn = decodeTurn(payload);
  return turn && { turn, offset, length: end - offset };
};

/** Finds the complete records in the bytes of a segment; a damaged record does not affect others. */
export const scanRecords = (bytes: Buffer): ScannedRecords => {
  const records: DecodedRecord[] = [];
  let lostBytes = 0;
  let offset = 0;
  while (offset < bytes.length) {
    const record = decodeRecord(bytes, offset);
    if (record) {
      records.push(record);
      offset += record.length;
    } else {
      const next = bytes.indexOf(MAGIC, offset + 1);
      const resumeOffset = next < 0 ? bytes.length : next;
      lostBytes += resumeOffset - offset;
      offset = resumeOffset;
    }
  }
  return { records, lostBytes };
};
