import { crc32 } from 'node:zlib';
import { fromBinary } from '@bufbuild/protobuf';
import type { Turn } from '@limpetnotch/peer-protocol';
import { TurnSchema } from '@limpetnotch/peer-protocol';

/** Magic bytes at the start of a record, which let a scan resume after a damaged record. */
const MAGIC = Buffer.from('ltr1', 'latin1');
const LENGTH_OFFSET = MAGIC.length;
const CHECKSUM_OFFSET = LENGTH_OFFSET + 4;

const DURABLE_OFFSET = CHECKSUM_OFFSET + 4;
const DURABLE_BYTES = 4;

/**
 * Size of the header: magic bytes, length of the turn, checksum of the rest of the record, bytes of the
 * segment that were durable before the record was written.
 */
const HEADER_BYTES = DURABLE_OFFSET + DURABLE_BYTES;

/** A complete record in the bytes of a segment. */
export interface DecodedRecord {
  readonly turn: Turn;
  readonly offset: number;
  /** Bytes of the record, including its header. */
  readonly length: number;
  /** Bytes of the segment that were durable before the record was written. */
  readonly durableBytes: number;
}

/** Complete records in the bytes of a segment, and the number of bytes outside them. */
export interface ScannedRecords {
  readonly records: readonly DecodedRecord[];
  readonly lostBytes: number;
  /** Lost bytes that were durable before; the others may be the remains of an unfinished write. */
  readonly damagedBytes: number;
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

/** Returns the size of the record of an encoded turn. */
export const computeRecordBytes = (payload: Uint8Array): number => HEADER_BYTES + payload.length;

/** Encodes an encoded turn as a record. */
export const encodeRecord = (payload: Uint8Array, durableBytes: number): Buffer => {
  const header = Buffer.alloc(HEADER_BYTES);
  MAGIC.copy(header);
  header.writeUInt32LE(payload.length, LENGTH_OFFSET);
  header.writeUInt32LE(durableBytes, DURABLE_OFFSET);
  header.writeUInt32LE(crc32(payload, crc32(header.subarray(DURABLE_OFFSET))), CHECKSUM_OFFSET);
  return Buffer.concat([header, payload]);
};

/** Decodes the record at an offset; `undefined` if no record starts there or it is damaged. */
export const decodeRecord = (bytes: Buffer, offset: number): DecodedRecord | undefined => {
  const start = offset + HEADER_BYTES;
  if (start > bytes.length || !hasMagic(bytes, offset)) return undefined;
  const end = start + bytes.readUInt32LE(offset + LENGTH_OFFSET);
  if (end > bytes.length) return undefined;
  const payload = bytes.subarray(start, end);
  const checksum = crc32(bytes.subarray(offset + DURABLE_OFFSET, end));
  if (checksum !== bytes.readUInt32LE(offset + CHECKSUM_OFFSET)) return undefined;
  const turn = decodeTurn(payload);
  const durableBytes = bytes.readUInt32LE(offset + DURABLE_OFFSET);
  return turn && { turn, offset, length: end - offset, durableBytes };
};

const sumLengths = (gaps: readonly { readonly length: number }[]): number =>
  gaps.reduce((sum, { length }) => sum + length, 0);

/** Finds the complete records in the bytes of a segment; a damaged record does not affect others. */
export const scanRecords = (bytes: Buffer): ScannedRecords => {
  const records: DecodedRecord[] = [];
  const gaps: { readonly offset: number; readonly length: number }[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const record = decodeRecord(bytes, offset);
    if (record) {
      records.push(record);
      offset += record.length;
    } else {
      const next = bytes.indexOf(MAGIC, offset + 1);
      const resumeOffset = next < 0 ? bytes.length : next;
      gaps.push({ offset, length: resumeOffset - offset });
      offset = resumeOffset;
    }
  }
  const durableBytes = records.reduce((most, record) => Math.max(most, record.durableBytes), 0);
  return {
    records,
    lostBytes: sumLengths(gaps),
    damagedBytes: sumLengths(gaps.filter((gap) => gap.offset < durableBytes)),
  };
};
