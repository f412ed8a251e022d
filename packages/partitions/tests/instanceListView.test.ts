import { MemoryMetrics } from '@limpetnotch/observability';
import { okAsync } from 'neverthrow';
import { InstanceListView } from '../src/instanceListView';
import type { Member } from '../src/member';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const createMember = (instance: string): Member => ({
  instance,
  incarnation: 'incarnation',
  peerAddress: '127.0.0.1:9000',
  availabilityZone: 'zone-a',
  leaving: false,
});

test('an instance counts as ended once it has been absent from the list for some time', async () => {
  let names = ['ended', 'live'];
  const read = () =>
    okAsync(
      names.map((instance) => ({ instance, availabilityZone: 'zone-a', state: 'live' as const })),
    );
  const view = new InstanceListView({ list: { read }, metrics: new MemoryMetrics() });
  const controller = new AbortController();
  void view.child().run({ signal: controller.signal, ready: () => undefined });
  const hasEnded = (instance: string): boolean => view.hasEnded(createMember(instance));
  await jest.advanceTimersByTimeAsync(10_000);
  names = ['live'];
  await jest.advanceTimersByTimeAsync(3_000);
  expect(hasEnded('ended')).toBe(false);
  await jest.advanceTimersByTimeAsync(7_000);
  expect(['ended', 'live', 'never-listed'].map(hasEnded)).toEqual([true, false, false]);
  await jest.advanceTimersByTimeAsync(20_000);
  expect(['ended', 'live', 'never-listed'].map(hasEnded)).toEqual([true, false, true]);
  controller.abort();
});
