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
  expect(limiter.tryReserve(2 * MEGABYTE)).toBe(false);
  expect(limiter.tryReserve(MEGABYTE / 2)).toBe(true);
  jest.advanceTimersByTime(10_000);
  expect(limiter.tryReserve(2 * MEGABYTE)).toBe(true);
});

test('the limiter of a target is kept while bytes are buffered', () => {
  const buffers = createBuffers();
  const limiter = buffers.limiterOf('t0');
  limiter.tryReserve(MEGABYTE);
  buffers.retain(() => false);
  expect(buffers.limiterOf('t0')).toBe(limiter);
  limiter.release(MEGABYTE);
  buffers.retain(() => false);
  expect(buffers.limiterOf('t0')).not.toBe(limiter);
});
