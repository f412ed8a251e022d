import { ChainCache } from '../../src/entry/chainCache';
import { createTurn } from '../support/createTurn';

test('turns beyond the limit are evicted, the least recently used first', () => {
  const cache = new ChainCache(1_000);
  ['t1', 't2', 't3'].forEach((id) => cache.add(createTurn(id)));
  expect(cache.get('north', 't1')).toBeUndefined();
  cache.get('north', 't2');
  cache.add(createTurn('t4'));
  expect(cache.get('north', 't3')).toBeUndefined();
  expect(cache.get('north', 't2')?.id).toBe('t2');
  expect(cache.bytes).toBeLessThanOrEqual(1_000);
});

test('a turn is not returned to another organisation', () => {
  const cache = new ChainCache(10_000);
  cache.add(createTurn('t1'));
  expect(cache.get('south', 't1')).toBeUndefined();
});

test('an expired turn is not returned', () => {
  const cache = new ChainCache(10_000);
  cache.add({ ...createTurn('t1'), expiresAtMilliseconds: Date.now() - 1 });
  expect(cache.get('north', 't1')).toBeUndefined();
  expect(cache.bytes).toBe(0);
});
