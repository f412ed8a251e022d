import type { RequestListener } from 'node:http';
import type { TextMetrics } from './textMetrics';

const METRICS_PATH = '/metrics';

/** Creates a request listener that serves metrics as text at `/metrics`. */
export const createMetricsListener =
  (metrics: TextMetrics): RequestListener =>
  (request, response) => {
    if (request.method !== 'GET' || request.url !== METRICS_PATH) {
      response.writeHead(404).end();
      return;
    }
    metrics.text().then(
      (text) => response.writeHead(200, { 'content-type': metrics.contentType }).end(text),
      () => response.writeHead(500).end(),
    );
  };
