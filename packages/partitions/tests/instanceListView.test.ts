import { MemoryMetrics } from '@limpetnotch/observability';
import { okAsync } from 'neverthrow';
import { InstanceListView } from '../src/instanceListView';
import type { Member } from '../src/member';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const memberOf = (instance: string): Member => ({
  instance,
  incarnation: 'incarnation',
  peerAddress: '127.0.0.1:9000',
  availabilityZone: 'zone-a',
  leaving: false,
});

test('an instance is gone once it is absent from the list for a while', async () => {
  let names = ['ended', 'live'];
  const read = () =>
    okAsync(
      names.map((instance) => ({ instance, availabilityZone: 'zone-a', state: 'live' as const })),
    );
  const view = new InstanceListView({ list: { read }, metrics: new MemoryMetrics() });
  const controller = new AbortController();
  void view.child().run({ signal: controller.signal, ready: () => undefined });
  const isGone = (instance: string): boolean => view.isGone(memberOf(instance));
  await jest.advanceTimersByTimeAsync(10_000);
  names = ['live'];
  await jest.advanceTimersByTimeAsync(3_000);
  expect(isGone('ended')).toBe(false);
  await jest.advanceTimersByTimeAsync(7_000);
  expect(['ended', 'live', 'never-listed'].map(isGone)).toEqual([true, false, false]);
  await jest.advanceTimersByTimeAsync(20_000);
  expect(['ended', 'live', 'never-listed'].map(isGone)).toEqual([true, false, true]);
  controller.abort();
});
