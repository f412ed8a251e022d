import { toBinary } from '@bufbuild/protobuf';
import type { Turn } from '@limpetnotch/peer-protocol';
import { TurnSchema } from '@limpetnotch/peer-protocol';
import fc from 'fast-check';
import { encodeRecord, scanRecords } from '../src/turnRecord';
import { createTurn } from './support/createTurn';

const encode = (turn: Turn, durableBytes = 0): Buffer =>
  encodeRecord(toBinary(TurnSchema, turn), durableBytes);

const idsOf = (bytes: Buffer): string[] => scanRecords(bytes).records.map(({ turn }) => turn.id);

const RECORDS = ['1', '2', '3'].map((id) => encode(createTurn(id)));

test('records are found in order', () => {
  expect(idsOf(Buffer.concat(RECORDS))).toEqual(['1', '2', '3']);
  expect(scanRecords(Buffer.concat(RECORDS)).lostBytes).toBe(0);
});

test('bytes between records are counted as lost', () => {
  const [first, second] = RECORDS;
  const bytes = Buffer.concat([first!, Buffer.from('ltr1 and more'), second!]);
  expect(scanRecords(bytes)).toMatchObject({ lostBytes: 13 });
  expect(idsOf(bytes)).toEqual(['1', '2']);
});

test('a text that looks like a record is not decoded as one', () => {
  const inner = encode(createTurn('inner'));
  const outer = encode(createTurn('outer', { output: inner }));
  expect(idsOf(outer)).toEqual(['outer']);
});

test('with any changed bytes, a scan ends and finds only turns that were written', () => {
  const change = fc.record({ at: fc.nat(), value: fc.nat({ max: 255 }) });
  const property = fc.property(fc.array(change, { maxLength: 8 }), fc.nat(), (changes, cut) => {
    const bytes = Buffer.concat(RECORDS);
    changes.forEach(({ at, value }) => {
      bytes[at % bytes.length] = value;
    });
    const found = scanRecords(bytes.subarray(0, cut % (bytes.length + 1))).records;
    found.forEach(({ turn }) => expect(turn).toEqual(createTurn(turn.id)));
    expect(new Set(found.map(({ turn }) => turn.id)).size).toBe(found.length);
  });
  fc.assert(property, { numRuns: 1_000, seed: 4 });
});

test('any bytes can be scanned', () => {
  const property = fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
    const { records, lostBytes } = scanRecords(Buffer.from(bytes));
    expect(records).toEqual([]);
    expect(lostBytes).toBe(bytes.length);
  });
  fc.assert(property, { numRuns: 500, seed: 5 });
});

test('lost bytes count as damage only if a later record shows that they were durable', () => {
  const first = encode(createTurn('1'));
  const second = encode(createTurn('2'), first.length);
  const third = encode(createTurn('3'), first.length);
  const bytes = Buffer.concat([first, second, third]);
  bytes[first.length + 30]! += 1;
  expect(scanRecords(bytes)).toMatchObject({ lostBytes: second.length, damagedBytes: 0 });
  bytes[30]! += 1;
  const lostBytes = first.length + second.length;
  expect(scanRecords(bytes)).toMatchObject({ lostBytes, damagedBytes: first.length });
});
