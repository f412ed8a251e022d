import { MemoryMetrics } from '@limpetnotch/observability';
import { StoreStandIn } from '@limpetnotch/stand-ins';
import { createEtcdStore, createStoreInstanceList } from '../src';
import { errorOf, valueOf } from './unwrap';

test('lists instances and omits malformed entries', async () => {
  const standIn = new StoreStandIn();
  await standIn.start();
  const store = createEtcdStore({ endpoints: [standIn.server.address] });
  const metrics = new MemoryMetrics();
  const list = createStoreInstanceList({ store, metrics });
  const put = (key: string, value: string) =>
    store.compareAndSwap({ key: `platform/instances/${key}`, expectedRevision: 0, value });
  await put('a', '{"availabilityZone":"one","state":"live"}');
  await put('b', '{"availabilityZone":"two","state":"leaving"}');
  await put('c', '{"availabilityZone":"two"');
  expect(valueOf(await list.read())).toEqual([
    { instance: 'a', availabilityZone: 'one', state: 'live' },
    { instance: 'b', availabilityZone: 'two', state: 'leaving' },
  ]);
  expect(metrics.counter('instance-list.malformed')).toBe(1);
  await standIn.stop();
  expect(errorOf(await list.read()).kind).toBe('unavailable');
  await store.close();
});
