import { once } from 'node:events';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { FleetService } from '@limpetnotch/peer-protocol';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { ForwardedPart } from '../../src/forwarding/forwardedPart';
import type { ForwardedRequest } from '../../src/forwarding/forwardedRequest';
import { HttpListener } from '../../src/ingress/httpListener';
import { callEnvelope } from '../support/callEnvelope';
import { createFleetPeers } from '../support/createFleetPeers';
import { ForwarderFleet } from './forwarderFleet';

let fleet: ForwarderFleet;

afterEach(() => fleet.stop());

const start = async (handle: RequestListener): Promise<void> => {
  fleet = await ForwarderFleet.start(handle);
};

/** Forwards a request over a real connection; returns the parts, and `lost` if the hop breaks. */
const forward = async (
  change: Partial<ForwardedRequest> = {},
  signal = new AbortController().signal,
): Promise<readonly (ForwardedPart | 'lost')[]> => {
  const parts: (ForwardedPart | 'lost')[] = [];
  try {
    const request = fleet.createRequest(change);
    for await (const part of fleet.peers.forward('forwarder', request, signal)) {
      if (part.kind !== 'progress') parts.push(part);
    }
  } catch {
    parts.push('lost');
  }
  return parts;
};

const kindsOf = (parts: readonly (ForwardedPart | 'lost')[]): readonly string[] =>
  parts.map((part) => {
    if (part === 'lost') return part;
    return part.kind === 'failure' ? part.failure : part.kind;
  });

test('request and response arrive unchanged', async () => {
  const received = new Deferred<{ request: IncomingMessage; body: string }>();
  await start((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.once('end', () => {
      received.resolve({ request, body: Buffer.concat(chunks).toString() });
      response.writeHead(500, { 'Response-Signature': 's', 'X-Twice': ['1', '2'] });
      response.end('answer');
    });
  });
  const envelope = callEnvelope({
    id: 'r1',
    method: 'PUT',
    pathAndQuery: '/p?q=1',
    passedHeaders: ['x-passed', 'yes'],
    lastEventId: '7',
  });
  const parts = await forward({ envelope });
  const { request, body } = await received.promise;
  expect([request.method, request.url, body]).toEqual(['PUT', '/p?q=1', 'body']);
  expect(request.headers).toMatchObject({
    'x-id': 'r1',
    'x-target': 't',
    'x-passed': 'yes',
    'x-after': '7',
    'x-organisation': 'organisation',
  });
  expect(kindsOf(parts)).toEqual(['head', 'data', 'end']);
  const [head] = parts;
  expect(head).toMatchObject({ status: 500, framing: 'delimited' });
  const headers = head !== 'lost' && head?.kind === 'head' ? head.rawHeaders : [];
  expect(headers.join(' ')).toContain('response-signature s');
  expect(headers.join(' ')).toContain('x-twice 1 x-twice 2');
});

// The deadline that a target receives must not include time that has passed at the forwarder.
test('the remaining time is that at the moment of sending', async () => {
  const held: ServerResponse[] = [];
  const remaining: number[] = [];
  await start((request, response) => {
    remaining.push(Number(request.headers['x-remaining']));
    held.push(response);
  });
  // One connection: the second request waits until the first has ended.
  const first = forward({ remainingMilliseconds: 3_000 });
  await delay(50);
  const second = forward({ remainingMilliseconds: 2_000 });
  await delay(300);
  held[0]?.end();
  await first;
  await delay(50);
  held[1]?.end();
  await second;
  expect(remaining[1]).toBeLessThan(1_800);
  expect(remaining[1]).toBeGreaterThan(1_400);
});

test('parts arrive as the target sends them', async () => {
  const held = new Deferred<ServerResponse>();
  await start((_request, response) => {
    response.write('a');
    held.resolve(response);
  });
  const signal = new AbortController();
  const parts = fleet.peers.forward('forwarder', fleet.createRequest(), signal.signal);
  const kinds: string[] = [];
  for await (const part of parts) {
    kinds.push(part.kind);
    if (part.kind === 'data' && kinds.filter((kind) => kind === 'data').length === 1) {
      (await held.promise).end('b');
    }
  }
  expect(kinds.filter((kind) => kind !== 'progress')).toEqual(['head', 'data', 'data', 'end']);
});

test('a hop with a target at work shows that it works', async () => {
  await start((_request, response) => {
    setTimeout(() => response.end(), 700);
  });
  const kinds: string[] = [];
  const { signal } = new AbortController();
  for await (const part of fleet.peers.forward('forwarder', fleet.createRequest(), signal)) {
    kinds.push(part.kind);
  }
  expect(kinds.filter((kind) => kind === 'progress').length).toBeGreaterThanOrEqual(2);
});

test('a cancelled exchange ends at the target', async () => {
  const closed = new Deferred<boolean>();
  const arrived = new Deferred();
  await start((_request, response) => {
    response.once('close', () => closed.resolve(true));
    arrived.resolve(undefined);
  });
  const cancel = new AbortController();
  const forwarded = forward({}, cancel.signal);
  await arrived.promise;
  cancel.abort();
  expect(await closed.promise).toBe(true);
  await forwarded;
  expect(fleet.forwarder.underWay).toBe(0);
});

test('an exchange ends at its deadline', async () => {
  await start(() => undefined);
  expect(kindsOf(await forward({ remainingMilliseconds: 200 }))).toEqual(['broken']);
});

test.each([
  ['with a length', { 'content-length': '100' }, ['head', 'data', 'broken']],
  ['in chunks', { 'transfer-encoding': 'chunked' }, ['head', 'data', 'broken']],
])('a response %s that breaks off has no end', async (_name, headers, kinds) => {
  await start((_request, response) => {
    response.writeHead(200, headers);
    response.write('part');
    setTimeout(() => response.socket?.resetAndDestroy(), 50);
  });
  expect(kindsOf(await forward())).toEqual(kinds);
});

test('a response without a length that is reset has no end', async () => {
  await start((request) => {
    const { socket } = request;
    socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart');
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  expect(kindsOf(await forward())).toEqual(['head', 'data', 'broken']);
});

test('half a head is no response', async () => {
  await start((request) => {
    request.socket.end('HTTP/1.1 200 OK\r\ncontent-le');
  });
  expect(kindsOf(await forward())).toEqual(['broken']);
});

test('a forwarder that ends leaves a response without an end', async () => {
  await start((_request, response) => {
    response.write('part');
    setTimeout(() => fleet.endForwarder(), 50);
  });
  expect(kindsOf(await forward())).toEqual(['head', 'data', 'lost']);
});

// An instance that had lost only the store took the streams with it that it forwarded.
test('an exchange outlives the presence of the instance that forwards it', async () => {
  const held = new Deferred<ServerResponse>();
  await start((_request, response) => {
    response.write('a');
    held.resolve(response);
  });
  const forwarded = forward();
  const response = await held.promise;
  fleet.peers.setPeers(new Map());
  await delay(50);
  response.end('b');
  expect(kindsOf(await forwarded)).toEqual(['head', 'data', 'data', 'end']);
});

test('a target that refuses connections is told apart from a cut path', async () => {
  await start(() => undefined);
  await fleet.refuseConnections();
  fleet.verdict = 'target-refuses';
  expect(kindsOf(await forward())).toEqual(['refused']);
  fleet.verdict = 'cut';
  expect(kindsOf(await forward())).toEqual(['target-unavailable']);
});

// An instance that was cut off, too, reported a serving target as crashed.
test('a refusal that may be one of the path is no refusal of the target', async () => {
  await start(() => undefined);
  await fleet.refuseConnections();
  fleet.verdict = 'unknown';
  expect(kindsOf(await forward())).toEqual(['not-sent']);
});

// Two instances that are both cut off must not hand work to each other.
test('an instance without a path of its own declines', async () => {
  await start((_request, response) => response.end());
  const [target] = fleet.fleet.targets.all;
  fleet.paths.recordCut(target!, 'timeout');
  expect(kindsOf(await forward())).toEqual(['declined']);
});

test('an instance without a path to one of its targets declines only that one', async () => {
  await start((_request, response) => response.end());
  const [target] = fleet.fleet.targets.all;
  ['u', 'v', 'w'].forEach((id) => fleet.fleet.targets.put({ ...target!, id }));
  fleet.paths.recordCut(target!, 'timeout');
  expect(kindsOf(await forward())).toEqual(['target-unavailable']);
});

test('a draining instance declines', async () => {
  await start((_request, response) => response.end());
  fleet.isDraining = true;
  expect(kindsOf(await forward())).toEqual(['declined']);
});

test('another incarnation of the target gets nothing', async () => {
  let requests = 0;
  await start((_request, response) => {
    requests += 1;
    response.end();
  });
  const kinds = [
    await forward({ target: { ...fleet.target, bornMilliseconds: 6 } }),
    await forward({ target: { ...fleet.target, version: 'v2' } }),
    await forward({ target: { ...fleet.target, id: 'other' } }),
  ].flatMap(kindsOf);
  expect([kinds, requests]).toEqual([Array(3).fill('target-unavailable'), 0]);
});

test('a target that says it leaves gets no further request of the forwarder', async () => {
  await start((_request, response) => {
    response.setHeader('x-leaving', '1');
    response.end();
  });
  await forward();
  expect(kindsOf(await forward())).toEqual(['target-unavailable']);
});

test('a slow reader pauses the target', async () => {
  const sent = { bytes: 0 };
  const response = new Deferred<ServerResponse>();
  await start((_request, one) => {
    response.resolve(one);
    const chunk = Buffer.alloc(64 * 1024);
    const write = (): void => {
      let isWritable = true;
      while (isWritable && sent.bytes < 200 * 1024 * 1024) {
        sent.bytes += chunk.length;
        isWritable = one.write(chunk);
      }
      one.once('drain', write);
    };
    write();
  });
  const cancel = new AbortController();
  const request = fleet.createRequest({ remainingMilliseconds: 10_000 });
  const parts = fleet.peers.forward('forwarder', request, cancel.signal);
  await parts.next();
  await delay(1_000);
  expect(sent.bytes).toBeLessThan(32 * 1024 * 1024);
  cancel.abort();
  await once(await response.promise, 'close');
  expect(fleet.forwarder.underWay).toBe(0);
});

test('an instance of an earlier version declines', async () => {
  await start((_request, response) => response.end());
  const listener = await HttpListener.start({
    host: '127.0.0.1',
    port: 0,
    listener: connectNodeAdapter({ routes: (router) => router.service(FleetService, {}) }),
  });
  const peers = createFleetPeers();
  peers.setPeers(new Map([['earlier', `127.0.0.1:${listener.port}`]]));
  const kinds: ForwardedPart[] = [];
  const { signal } = new AbortController();
  for await (const part of peers.forward('earlier', fleet.createRequest(), signal)) {
    kinds.push(part);
  }
  expect(kindsOf(kinds)).toEqual(['declined']);
  peers.close();
  await listener.close();
});

test('an evacuated target gets no request through another instance', async () => {
  let requests = 0;
  await start((_request, response) => {
    requests += 1;
    response.end();
  });
  fleet.fleet.evacuations.start('a');
  expect(kindsOf(await forward())).toEqual(['target-unavailable']);
  expect(kindsOf(await forward({ isRepeat: true }))).toEqual(['target-unavailable']);
  expect(requests).toBe(0);
});

// Without a configuration, an instance has one connection to a target.
test('a request that waits at its forwarder is not sent to a target that is evacuated', async () => {
  let requests = 0;
  const held = new Deferred<ServerResponse>();
  await start((_request, response) => {
    requests += 1;
    held.resolve(response);
  });
  const first = forward();
  const response = await held.promise;
  const second = forward();
  await delay(30);
  fleet.fleet.evacuations.start('a');
  expect(kindsOf(await second)).toEqual(['target-unavailable']);
  response.end('done');
  expect(kindsOf(await first)).toEqual(['head', 'data', 'end']);
  expect(requests).toBe(1);
});
