import { create } from '@bufbuild/protobuf';
import { ControlResponseSchema, HeartbeatSchema, PeerClient, PeerServer } from '../src';
import type { ControlMessage } from '../src';

const createHeartbeat = (configurationRevision: number): ControlMessage => ({
  case: 'heartbeat',
  value: create(HeartbeatSchema, { configurationRevision }),
});

/** Starts a server that replies to every heartbeat except those of revision 0. */
const startEchoServer = async (): Promise<PeerServer> =>
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
  const server = await startEchoServer();
  const client = new PeerClient(`127.0.0.1:${server.port}`);
  const replies = await Promise.all(
    [1, 2, 3].map(async (n) => client.exchange(createHeartbeat(n))),
  );
  const revisions = replies.map((reply) => {
    const message = reply._unsafeUnwrap();
    return message.case === 'heartbeat' ? message.value.configurationRevision : undefined;
  });
  expect(revisions).toEqual([1, 2, 3]);
  client.close();
  await server.close();
});

test('replaces a stream after a message without a reply', async () => {
  const server = await startEchoServer();
  const client = new PeerClient(`127.0.0.1:${server.port}`);
  const lost = await client.exchange(createHeartbeat(0));
  expect(lost.isErr()).toBe(true);
  const next = await client.exchange(createHeartbeat(7));
  expect(next.isOk()).toBe(true);
  client.close();
  await server.close();
});

test('reports a peer that does not listen as unreachable', async () => {
  const server = await startEchoServer();
  const { port } = server;
  await server.close();
  const client = new PeerClient(`127.0.0.1:${port}`);
  const lost = await client.exchange(createHeartbeat(1));
  expect(lost._unsafeUnwrapErr().kind).toBe('unreachable');
  client.close();
});
