import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { createMetricsListener } from '../src/createMetricsListener';
import { TextMetrics } from '../src/textMetrics';

test('counters and histograms are served as text', async () => {
  const metrics = new TextMetrics();
  metrics.increment('call.results', 2, { result: 'delivered' });
  metrics.gauge('call.under-way', 3);
  metrics.distribution('call.duration-milliseconds', 150, { result: 'delivered' });
  const server = createServer(createMetricsListener(metrics)).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  try {
    const response = await request(`http://127.0.0.1:${port}/metrics`);
    const text = await response.body.text();
    expect(text).toContain('limpetnotch_call_results_total{result="delivered"} 2');
    expect(text).toContain('limpetnotch_call_under_way 3');
    expect(text).toContain(
      'limpetnotch_call_duration_milliseconds_bucket{le="200",result="delivered"} 1',
    );
    const other = await request(`http://127.0.0.1:${port}/other`);
    await other.body.dump();
    expect(other.statusCode).toBe(404);
  } finally {
    server.closeAllConnections();
    server.close();
  }
});
