import { create } from '@bufbuild/protobuf';
import { ControlResponseSchema, HeartbeatSchema, PeerClient, PeerServer } from '../src';
import type { ControlMessage } from '../src';

const heartbeat = (configurationRevision: number): ControlMessage => ({
  case: 'heartbeat',
  value: create(HeartbeatSchema, { configurationRevision }),
});

/** Starts a server that echoes every heartbeat except those of revision 0. */
const startEcho = async (): Promise<PeerServer> =>
  PeerServer.start({
    host: '127.0.0.1',
    port: 0,
    service: {
      async *control(requests) {
        for await (const { id, message } of requests) {
          if (message.case === 'heartbeat' && message.value.configurationRevision !== 0) {
            yield create(ControlResponseSchema, { id, message });
          }
        }
      },
    },
  });

test('exchanges many messages on one stream', async () => {
  const server = await startEcho();
  const client = new PeerClient(`127.0.0.1:${server.port}`);
  const replies = await Promise.all([1, 2, 3].map(async (n) => client.exchange(heartbeat(n))));
  const revisions = replies.map((reply) => {
    const message = reply._unsafeUnwrap();
    return message.case === 'heartbeat' ? message.value.configurationRevision : undefined;
  });
  expect(revisions).toEqual([1, 2, 3]);
  client.close();
  await server.close();
});

test('replaces a stream that gives no answer', async () => {
  const server = await startEcho();
  const client = new PeerClient(`127.0.0.1:${server.port}`);
  const lost = await client.exchange(heartbeat(0));
  expect(lost.isErr()).toBe(true);
  const next = await client.exchange(heartbeat(7));
  expect(next.isOk()).toBe(true);
  client.close();
  await server.close();
});

test('reports a peer that is not there', async () => {
  const server = await startEcho();
  const { port } = server;
  await server.close();
  const client = new PeerClient(`127.0.0.1:${port}`);
  const lost = await client.exchange(heartbeat(1));
  expect(lost._unsafeUnwrapErr().kind).toBe('unreachable');
  client.close();
});
