import { BufferLimiter } from '../../src/calls/bufferLimiter';
import { TargetBuffers } from '../../src/calls/targetBuffers';

const MEGABYTE = 1024 * 1024;

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const createBuffers = () => new TargetBuffers(16 * MEGABYTE, new BufferLimiter(32 * MEGABYTE));

test('the responses of one target share a limit', () => {
  const buffers = createBuffers();
  expect(buffers.limiterOf('t0').tryReserve(10 * MEGABYTE)).toBe(true);
  expect(buffers.limiterOf('t0').tryReserve(10 * MEGABYTE)).toBe(false);
  expect(buffers.limiterOf('t1').tryReserve(10 * MEGABYTE)).toBe(true);
});

test('a target that exceeded its limit is restricted for a while', () => {
  const limiter = createBuffers().limiterOf('t0');
  limiter.tryReserve(17 * MEGABYTE);
  expect(limiter.tryReserve(5 * MEGABYTE)).toBe(false);
  expect(limiter.tryReserve(MEGABYTE)).toBe(true);
  jest.advanceTimersByTime(1_000);
  expect(limiter.tryReserve(5 * MEGABYTE)).toBe(true);
});

// Callers that read large responses slowly left their target no room for others.
test('a complete response counts only towards the limit of all targets', () => {
  const total = new BufferLimiter(32 * MEGABYTE);
  const limiter = new TargetBuffers(16 * MEGABYTE, total).limiterOf('t0');
  limiter.tryReserve(12 * MEGABYTE);
  limiter.finish(12 * MEGABYTE);
  expect(limiter.tryReserve(12 * MEGABYTE)).toBe(true);
  expect(total.bytes).toBe(24 * MEGABYTE);
  limiter.release(12 * MEGABYTE);
  expect(total.bytes).toBe(12 * MEGABYTE);
});

test('the limiter of a target is kept while responses are unfinished', () => {
  const buffers = createBuffers();
  const limiter = buffers.limiterOf('t0');
  limiter.tryReserve(MEGABYTE);
  buffers.retain(() => false);
  expect(buffers.limiterOf('t0')).toBe(limiter);
  limiter.finish(MEGABYTE);
  limiter.release(MEGABYTE);
  buffers.retain(() => false);
  expect(buffers.limiterOf('t0')).not.toBe(limiter);
});
