import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import fc from 'fast-check';
import { createEtcdStore } from '../src';
import { errorOf } from './unwrap';

const SEED = 20_261_204;

/** Runs a test against a gateway that sends the response set last to every request. */
const withGateway = async (
  run: (answer: (status: number, body: string) => void, endpoint: string) => Promise<void>,
): Promise<void> => {
  let next = { status: 200, body: '' };
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(next.status).end(next.body);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await run((status, body) => {
    next = { status, body };
  }, `http://127.0.0.1:${port}`);
  server.closeAllConnections();
  await new Promise((resolve) => {
    server.close(resolve);
  });
};

test('never treats a malformed response as an effect', () =>
  withGateway(async (answer, endpoint) => {
    const store = createEtcdStore({ endpoints: [endpoint] });
    await fc.assert(
      fc.asyncProperty(
        fc.oneof(fc.json(), fc.string(), fc.constant('{"header":{"revision":"x"}}')),
        async (body) => {
          answer(200, body);
          const write = await store.compareAndSwap({ key: 'k', expectedRevision: 0, value: 'v' });
          if (write.isErr()) expect(write.error.kind).toBe('unknown-outcome');
          else expect(write.value.kind).toBe('conflict');
          const read = await store.read('k');
          if (read.isErr()) expect(read.error.kind).toBe('malformed-answer');
          else expect(read.value).toBeUndefined();
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
    await store.close();
  }));

test.each([
  [400, '{}', 'unavailable'],
  [429, '{}', 'rate-limited'],
  [503, '{"message":"etcdserver: no leader"}', 'unavailable'],
  [503, '{"message":"etcdserver: request timed out"}', 'unknown-outcome'],
  [503, '{"message":"etcdserver: leader changed"}', 'unknown-outcome'],
  [500, 'not json', 'unknown-outcome'],
  [408, '{}', 'unknown-outcome'],
  [404, '{"message":"etcdserver: requested lease not found"}', 'lease-ended'],
])('maps status %i with %s to %s for a write', (status, body, kind) =>
  withGateway(async (answer, endpoint) => {
    const store = createEtcdStore({ endpoints: [endpoint] });
    answer(status, body);
    const write = await store.compareAndSwap({ key: 'k', expectedRevision: 0, value: 'v' });
    expect(errorOf(write).kind).toBe(kind);
    await store.close();
  }),
);
