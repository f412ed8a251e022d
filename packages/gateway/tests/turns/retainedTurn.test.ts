import { text } from 'node:stream/consumers';
import type { Turn } from '@limpetnotch/peer-protocol';
import { err, ok } from 'neverthrow';
import type { FleetRoute } from '../../src/configuration/fleetConfiguration';
import { RetainedTurn } from '../../src/turns/retainedTurn';
import type { TurnKeeping } from '../../src/turns/turnKeeping';
import { CallHarness, SIGNED } from '../support/callHarness';

const STREAM: Partial<FleetRoute> = {
  execution: { kind: 'event-stream', isResumable: false, maximumGapMilliseconds: 1_000 },
  context: { kind: 'held' },
};

let harness: CallHarness;
let kept: Turn[];

const keepAll: Pick<TurnKeeping, 'keep'> = {
  keep: async (turn) => {
    kept.push(turn);
    return ok(undefined);
  },
};

const keepNone: Pick<TurnKeeping, 'keep'> = {
  keep: async () => err({ kind: 'too-few-copies', storedAt: [] }),
};

const retain = (keeping: Pick<TurnKeeping, 'keep'>, chain: readonly Turn[] = []): void => {
  harness.prepareCall = (call) => {
    // eslint-disable-next-line no-param-reassign -- as the gateway does before it runs a call
    call.retainedTurn = new RetainedTurn({
      keeping,
      chain,
      organisation: 'north',
      id: 'r1',
      parentId: '',
      program: 'p1',
      input: call.body,
      retentionMilliseconds: 60_000,
    });
  };
};

beforeEach(() => {
  harness = new CallHarness();
  kept = [];
});

afterEach(() => harness.close());

test('a target receives the earlier turns, oldest first, and then the input', async () => {
  const first = { input: Buffer.from('in1'), output: Buffer.from('a\nb\n') };
  const second = { input: Buffer.from('in2'), output: Buffer.from('c\n') };
  retain(keepAll, [first, second] as unknown as Turn[]);
  let received = '';
  await harness.addTarget('t1', (request, response) => {
    void text(request).then((body) => {
      received = body;
      response.writeHead(200, SIGNED).end('id: 1\ndata: x\n\n');
    });
  });
  await harness.run(STREAM);
  expect(received).toBe('in1a\nb\nin2c\nx');
});

test('the data of each event is retained with a line feed, and nothing else of it', async () => {
  retain(keepAll);
  await harness.addTarget('t1', (_request, response) => {
    response.writeHead(200, SIGNED);
    response.write('weight-versions: 2\nid: 1\ndata: one\n\n: comment\n\n');
    response.end('id: 2\r\ndata:two\r\ndata:  three\r\n\r\n');
  });
  const view = await harness.run(STREAM);
  expect(view.isWhole).toBe(true);
  expect(kept.map(({ output }) => Buffer.from(output).toString())).toEqual(['one\ntwo\n three\n']);
});

test('the response of a turn that could not be stored does not look complete', async () => {
  retain(keepNone);
  await harness.addTarget('t1', (_request, response) => {
    response.writeHead(200, SIGNED).write('id: 1\ndata: x\n\n');
    // The caller has received the event when the response is cut off.
    setTimeout(() => response.end(), 50);
  });
  const view = await harness.run(STREAM);
  expect(view.body).toBe('id: 1\ndata: x\n\n');
  expect(view.isWhole).toBe(false);
});

test('a turn whose response broke off is not retained', async () => {
  retain(keepAll);
  await harness.addTarget('t1', (_request, response) => {
    response.writeHead(200, SIGNED).write('id: 1\ndata: x\n\n', () => response.destroy());
  });
  const view = await harness.run(STREAM);
  expect(view.isWhole).toBe(false);
  expect(kept).toEqual([]);
});

test('a failure of a target is no turn', async () => {
  retain(keepAll);
  await harness.addTarget('t1', (_request, response) => {
    response.writeHead(500, SIGNED).end('failed');
  });
  const view = await harness.run(STREAM);
  expect(view.status).toBe(500);
  expect(kept).toEqual([]);
});
