import { PrefixDirectory, TargetSpeeds } from '@limpetnotch/scheduling';
import { once } from 'node:events';
import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { silentLogger } from '@limpetnotch/observability';
import { AnswerWriter } from '../../src/calls/answerWriter';
import { Call } from '../../src/calls/call';
import type { CallResult } from '../../src/calls/callRunner';
import { CallRunner } from '../../src/calls/callRunner';
import type { AnswerHead, WireCodec } from '../../src/calls/wireCodec';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { FleetState } from '../../src/fleet/fleetState';
import { TargetConnections } from '../../src/targets/targetConnections';
import { TargetLoads } from '../../src/targets/targetLoads';
import { callEnvelope } from '../support/callEnvelope';
import { fleetRoute } from '../support/fleetRoute';

/** Names of headers that only these tests use. */
const codec: WireCodec = {
  decodeRequest: () => ({ kind: 'malformed-request', detail: 'unused' }),
  encodeDispatch: (envelope, note) => [
    ...['x-id', envelope.id, 'x-target', note.targetId, 'x-after', note.lastEventId ?? ''],
  ],
  decodeAnswer: (status, rawHeaders): AnswerHead => {
    const value = (name: string): string | undefined => {
      const index = rawHeaders.indexOf(name);
      return index < 0 ? undefined : rawHeaders[index + 1];
    };
    return {
      status,
      requestId: value('x-id'),
      isSigned: value('x-signed') !== undefined,
      isNotExecuted: value('x-not-run') !== undefined,
      isMisdirected: status === 421,
      hasContentEncoding: false,
      load: undefined,
      passedHeaders: [],
    };
  },
  encodeOwnAnswer: () => [],
};

const SIGNED = { 'x-id': 'r1', 'x-signed': '1' };

const servers: Server[] = [];
const connections: TargetConnections[] = [];

const listen = async (handle: RequestListener): Promise<string> => {
  const server = createServer(handle);
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
};

afterEach(async () => {
  await Promise.all(connections.splice(0).map((one) => one.close()));
  servers.splice(0).forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
});

interface Outcome {
  readonly result: CallResult;
  readonly status: number;
  readonly body: string;
}

/** Runs one call through a real connection of a caller, against the targets given. */
const run = async (execution: RouteExecution, targets: RequestListener[]): Promise<Outcome> => {
  const fleet = new FleetState();
  for (const [index, handle] of targets.entries()) {
    const address = await listen(handle);
    const common = { service: 's', availabilityZone: 'a', slots: 4 };
    fleet.targets.put({ ...common, id: `t${index}`, address, state: 'serving' });
  }
  const targetConnections = new TargetConnections();
  connections.push(targetConnections);
  const writer = new AnswerWriter({ codec, isClosing: () => false });
  const runner = new CallRunner({
    codec,
    connections: targetConnections,
    loads: new TargetLoads(),
    prefixes: new PrefixDirectory(),
    speeds: new TargetSpeeds(),
    writer,
    fleet,
    availabilityZone: 'a',
    logger: silentLogger,
    instanceCount: () => 1,
  });
  let result: CallResult | undefined;
  const entry = await listen((_request: IncomingMessage, response: ServerResponse) => {
    const call = new Call({
      envelope: callEnvelope({ patienceMilliseconds: 2_000 }),
      route: fleetRoute({ execution }),
      organisation: undefined,
      service: { name: 's', connectionLimit: 8 },
      body: Buffer.from('x'),
      response,
      arrivedAtMilliseconds: performance.now(),
    });
    void runner.run(call).then((ended) => {
      result = ended;
      if (ended.kind === 'refused') writer.refuse(response, undefined, ended.refusal);
    });
  });
  const sent = httpRequest(`http://${entry}/`, { method: 'POST' });
  sent.end();
  const [answer] = (await once(sent, 'response')) as [IncomingMessage];
  const chunks: Buffer[] = [];
  for await (const chunk of answer) chunks.push(chunk as Buffer);
  await new Promise(setImmediate);
  return {
    result: result!,
    status: answer.statusCode ?? 0,
    body: Buffer.concat(chunks).toString(),
  };
};

const STREAM: RouteExecution = {
  kind: 'event-stream',
  isResumable: true,
  maximumGapMilliseconds: 200,
};

test('a stream that breaks goes on at its next event', async () => {
  let runs = 0;
  const handle: RequestListener = (request, response) => {
    runs += 1;
    response.writeHead(200, SIGNED);
    if (runs > 1) {
      const after = Number(request.headers['x-after']);
      response.end(`id: ${after + 1}\ndata: b\n\n`);
      return;
    }
    response.write('id: 1\ndata: a\n\nid: 2\nda');
    setTimeout(() => response.destroy(), 20);
  };
  const { result, body } = await run(STREAM, [handle]);
  expect(result).toEqual({ kind: 'delivered', status: 200 });
  expect(body).toBe('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
});

test('a request that may have run is not sent again', async () => {
  let runs = 0;
  const handle: RequestListener = (request) => {
    runs += 1;
    request.socket.destroy();
  };
  const { status } = await run({ kind: 'at-most-once' }, [handle, handle]);
  expect(status).toBe(502);
  expect(runs).toBe(1);
});

test('a request that was declined is sent to another target', async () => {
  const declining: RequestListener = (_request, response) => {
    response.writeHead(503, { 'x-not-run': '1' });
    response.end();
  };
  let runs = 0;
  const serving: RequestListener = (_request, response) => {
    runs += 1;
    response.writeHead(200, SIGNED);
    response.end('done');
  };
  const { status, body } = await run({ kind: 'at-most-once' }, [declining, serving]);
  expect([status, body, runs]).toEqual([200, 'done', 1]);
});

test('targets that all decline give a refusal that is true', async () => {
  const declining: RequestListener = (_request, response) => {
    response.writeHead(503, { 'x-not-run': '1' });
    response.end();
  };
  const { status, result } = await run({ kind: 'at-most-once' }, [declining, declining]);
  expect(status).toBe(503);
  expect(result).toMatchObject({ kind: 'refused', refusal: { kind: 'unavailable' } });
});

test.each([
  ['another request', { 'x-id': 'other', 'x-signed': '1' }],
  ['nobody', { 'x-id': 'r1' }],
])('an answer of %s is not delivered', async (_name, headers) => {
  const handle: RequestListener = (_request, response) => {
    response.writeHead(200, headers);
    response.end('foreign');
  };
  const { status, body } = await run({ kind: 'at-most-once' }, [handle]);
  expect(status).toBe(502);
  expect(body).not.toContain('foreign');
});

test('an answer that ends early is not delivered as whole', async () => {
  const handle: RequestListener = (_request, response) => {
    response.writeHead(200, { ...SIGNED, 'content-length': '10' });
    response.write('half');
    setTimeout(() => response.destroy(), 20);
  };
  const { status } = await run({ kind: 'at-most-once' }, [handle]);
  expect(status).toBe(502);
});

test('a request that breaks its targets runs three times at most', async () => {
  let runs = 0;
  const handle: RequestListener = (request) => {
    runs += 1;
    request.socket.destroy();
  };
  const { status } = await run({ kind: 'idempotent' }, [handle, handle, handle, handle]);
  expect(status).toBe(502);
  expect(runs).toBe(3);
});
