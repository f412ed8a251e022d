import { BlockPool, PieceBuffer } from '../src';

const MEGABYTE = 1_000_000;

// A body in pieces of one byte took several hundred bytes for each.
test('a body in tiny pieces takes little more memory than its bytes', () => {
  const pieces = new PieceBuffer(new BlockPool());
  const piece = Buffer.from('a');
  for (let index = 0; index < MEGABYTE; index += 1) pieces.append(piece);
  expect(pieces.length).toBe(MEGABYTE);
  expect(pieces.cost).toBeLessThan(MEGABYTE * 1.1);
  expect(pieces.toBuffer().equals(Buffer.alloc(MEGABYTE, 'a'))).toBe(true);
});

test('pieces of all sizes are joined in their order', () => {
  const pieces = new PieceBuffer(new BlockPool());
  const sent: Buffer[] = [];
  let cost = 0;
  [1, 70_000, 3, 0, 16_384, 16_383, 5_000, 2, 200_000, 1].forEach((size, index) => {
    const piece = Buffer.alloc(size, String.fromCharCode(97 + index));
    sent.push(piece);
    cost += pieces.append(piece);
  });
  expect(cost).toBe(pieces.cost);
  expect(pieces.toBuffer().equals(Buffer.concat(sent))).toBe(true);
});

test('an empty body and a small one take little memory', () => {
  const pieces = new PieceBuffer(new BlockPool());
  expect(pieces.toBuffer()).toHaveLength(0);
  pieces.append(Buffer.from('small'));
  expect(pieces.cost).toBeLessThan(2_048);
});

// A block that is used again must not change a body that was returned before.
test('a body keeps its bytes when the blocks of another are used again', () => {
  const pool = new BlockPool();
  const collect = (letter: string): Buffer => {
    const pieces = new PieceBuffer(pool);
    for (let index = 0; index < 6; index += 1) pieces.append(Buffer.alloc(40_000, letter));
    return pieces.toBuffer();
  };
  const first = collect('a');
  const second = collect('b');
  expect(first.equals(Buffer.alloc(240_000, 'a'))).toBe(true);
  expect(second.equals(Buffer.alloc(240_000, 'b'))).toBe(true);
});

test('blocks that were given up are used again', () => {
  const pool = new BlockPool();
  const block = pool.take();
  pool.giveBack(block);
  expect(pool.take()).toBe(block);
});
