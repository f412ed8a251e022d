import { chooseEvicted, computeDescriptorBounds, computeMemoryBounds, costOfHead } from '../src';

const MAXIMUM_BODY_BYTES = 4_194_304;
const SMALLEST_MEMORY_BYTES = 186_000_000;

// Callers inside the limits of the pages are served by the smallest machine.
test('the smallest machine takes several bodies of the maximum size at once', () => {
  const { kindBytes, totalBytes } = computeMemoryBounds(SMALLEST_MEMORY_BYTES);
  expect(kindBytes.request).toBeGreaterThan(4 * MAXIMUM_BODY_BYTES);
  expect(totalBytes).toBeLessThan(SMALLEST_MEMORY_BYTES / 4);
});

test('a machine with little memory still takes bodies of the maximum size', () => {
  expect(computeMemoryBounds(1).kindBytes.request).toBeGreaterThan(2 * MAXIMUM_BODY_BYTES);
});

test('hundreds of connections fit into the default descriptors', () => {
  const { callers, running, peers, readiness, metrics } = computeDescriptorBounds(2_048);
  expect(callers).toBeGreaterThan(800);
  expect(running).toBeGreaterThan(600);
  expect(callers + running + peers + readiness + metrics).toBeLessThanOrEqual(2_008);
});

test('a head of the shortest fields costs far more than its bytes', () => {
  const fields = Array.from({ length: 4_000 }, () => ['a', '']).flat();
  expect(costOfHead(fields)).toBeGreaterThan(900_000);
  expect(costOfHead(['host', 'h'])).toBeLessThan(8_192);
});

const connection = (name: string, lastProgressMilliseconds: number, more: object = {}) => ({
  name,
  isRunning: false,
  hasServed: false,
  lastProgressMilliseconds,
  ...more,
});

test('a connection that has served nothing makes room before one that has', () => {
  const served = connection('served', 1, { hasServed: true });
  const running = connection('running', 0, { isRunning: true });
  const slow = connection('slow', 2);
  const recent = connection('recent', 3);
  expect(chooseEvicted([served, running, recent, slow])?.name).toBe('slow');
  expect(chooseEvicted([running, served])?.name).toBe('served');
  expect(chooseEvicted([running])).toBeUndefined();
});
