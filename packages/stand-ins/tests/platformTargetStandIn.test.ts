import { once } from 'node:events';
import { get } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { CallerRecord, TargetRun } from '../src';
import { CallerConnection, eventText, PlatformTargetStandIn } from '../src';

const TARGET = 'target-1';

let target: PlatformTargetStandIn;
let runs: TargetRun[];
let opened: CallerConnection[];

const start = async (isStreaming: boolean): Promise<void> => {
  target = await PlatformTargetStandIn.start({
    id: TARGET,
    slots: 1,
    isStreaming,
    port: 0,
    version: 'v1',
    record: (run) => runs.push(run),
  });
};

const send = async (
  path: string,
  headers: Record<string, string> = {},
  leaveAfterMilliseconds?: number,
): Promise<CallerRecord> => {
  const connection = await CallerConnection.open('127.0.0.1', target.port);
  opened.push(connection!);
  return connection!.send({
    id: 'r1',
    method: 'POST',
    path,
    headers: { 'request-id': 'r1', ...headers },
    body: 'body',
    leaveAfterMilliseconds,
    giveUpAfterMilliseconds: 5_000,
  });
};

beforeEach(() => {
  runs = [];
  opened = [];
});

afterEach(async () => {
  opened.forEach((connection) => connection.close());
  await target.end();
});

test('a plain response carries the signature of its run', async () => {
  await start(false);
  const { outcome } = await send('/1x5', { 'expected-instance': TARGET });
  const [run] = runs;
  expect(outcome).toMatchObject({
    kind: 'answered',
    status: 200,
    signature: run!.signature,
  });
  expect(run!.end).toMatchObject({ kind: 'answered', body: 'body' in outcome && outcome.body });
});

test('a request for another target is not run', async () => {
  await start(false);
  const { outcome } = await send('/1x5', { 'expected-instance': 'target-2' });
  expect(outcome).toMatchObject({ kind: 'answered', status: 421, signature: undefined });
  expect(runs).toEqual([]);
});

test('a target without a free slot declines', async () => {
  await start(false);
  const first = send('/1x100');
  while (runs.length === 0) await send('/1x100').catch(() => undefined);
  const { outcome } = await send('/1x100');
  expect(outcome).toMatchObject({ kind: 'answered', status: 503, signature: undefined });
  await first;
});

test('a stream resumes after the given last event', async () => {
  await start(true);
  const { outcome } = await send('/4x1', { 'last-event-id': '2' });
  expect(outcome).toMatchObject({ kind: 'answered', body: eventText('r1', 'v1', 3, 4) });
  expect(runs[0]!.firstEvent).toBe(3);
});

test('a reset breaks the connection before the response', async () => {
  await start(true);
  target.mode = 'reset';
  expect((await send('/4x1')).outcome).toMatchObject({ kind: 'broken', status: undefined });
  expect(runs[0]!.end).toEqual({ kind: 'broken', cause: 'reset' });
});

test('a hanging run ends when its caller disconnects', async () => {
  await start(false);
  target.mode = 'hang';
  expect((await send('/1x1', {}, 60)).outcome.kind).toBe('left');
  while (!runs[0]!.end) await send('/1x1', {}, 5);
  expect(runs[0]).toMatchObject({ wasSilent: true, end: { kind: 'cancelled' } });
});

test('a crash cuts off active runs', async () => {
  await start(false);
  const cut = send('/1x500');
  while (runs.length === 0) await send('/1x500', {}, 5);
  await target.end();
  expect((await cut).outcome.kind).toBe('broken');
  expect(runs[0]!.end).toEqual({ kind: 'broken', cause: 'crashed' });
});

test('a leaving target announces it in its responses', async () => {
  await start(false);
  const sent = get(`http://127.0.0.1:${target.port}/1x50`, { headers: { 'request-id': 'r1' } });
  target.isLeaving = true;
  const [{ headers }] = (await once(sent, 'response')) as [IncomingMessage];
  expect([headers['server-leaving'], headers.connection]).toEqual(['1', 'close']);
});

test.each([true, false])(
  'a response may end with its connection (stream: %s)',
  async (isStream) => {
    await start(isStream);
    target.mode = 'until-close';
    const { outcome } = await send('/4x1');
    expect(outcome).toMatchObject({ kind: 'answered', status: 200 });
    expect(runs[0]!.end).toMatchObject({
      kind: 'answered',
      body: 'body' in outcome && outcome.body,
    });
  },
);

test.each([true, false])(
  'a response has neither length nor chunks (stream: %s)',
  async (isStream) => {
    await start(isStream);
    target.mode = 'until-close';
    const socket = connect(target.port, '127.0.0.1');
    socket.write('POST /2x1 HTTP/1.1\r\nhost: h\r\nrequest-id: r1\r\ncontent-length: 0\r\n\r\n');
    const chunks: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    await once(socket, 'end');
    const [head] = Buffer.concat(chunks).toString().split('\r\n\r\n');
    expect(head).toMatch(/^HTTP\/1\.1 200 /);
    expect(head).not.toMatch(/content-length|transfer-encoding/i);
  },
);

test.each([true, false])('a response without a length is reset (stream: %s)', async (isStream) => {
  await start(isStream);
  target.mode = 'until-close-reset';
  await send('/4x1');
  expect(runs[0]!.end).toEqual({ kind: 'broken', cause: 'reset' });
});
