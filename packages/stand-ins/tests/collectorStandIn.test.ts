import { createStatsdMetrics } from '@limpetnotch/observability';
import { request } from 'undici';
import { CollectorStandIn, parseStatsd } from '../src';

test('counts StatsD samples and trace exports', async () => {
  const collector = new CollectorStandIn();
  const port = await collector.start();
  const metrics = createStatsdMetrics({ host: '127.0.0.1', port, instance: 'a' });
  metrics.increment('journal.commits', 3);
  metrics.increment('journal.commits', 2, { kind: 'x' });
  await metrics.close();
  await request(`${collector.server.address}/v1/traces`, {
    method: 'POST',
    headers: { 'content-type': 'application/x-protobuf' },
    body: Buffer.from([1, 2]),
  });
  while (collector.counter('limpetnotch.journal.commits') < 5) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  expect(collector.statistics()).toMatchObject({ traceExports: 1 });
  await collector.stop();
});

test('parses samples with tags and rates, and skips malformed lines', () => {
  expect(parseStatsd('a.b:1|c|@0.5|#x:y,z\n?\na.c:-2.5|g')).toEqual([
    { name: 'a.b', value: 1, type: 'c', tags: ['x:y', 'z'] },
    { name: 'a.c', value: -2.5, type: 'g', tags: [] },
  ]);
});
