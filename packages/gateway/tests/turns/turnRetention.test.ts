import type { ServerResponse } from 'node:http';
import type { Turn } from '@limpetnotch/peer-protocol';
import type { ChainReading } from '@limpetnotch/turns';
import { Call } from '../../src/calls/call';
import type { CallEnvelope } from '../../src/calls/callEnvelope';
import type { FleetRoute } from '../../src/configuration/fleetConfiguration';
import type { RetentionDecision } from '../../src/turns/turnRetention';
import { TurnRetention } from '../../src/turns/turnRetention';
import { callEnvelope } from '../support/callEnvelope';
import { fleetRoute } from '../support/fleetRoute';

const EARLIER = { input: Buffer.from('in1'), output: Buffer.from('out1\n') } as unknown as Turn;

const HELD: Partial<FleetRoute> = {
  execution: { kind: 'event-stream', isResumable: true, maximumGapMilliseconds: 1_000 },
  context: { kind: 'held' },
};

const createCall = (route: Partial<FleetRoute>, envelope: Partial<CallEnvelope>): Call =>
  new Call({
    envelope: callEnvelope(envelope),
    route: fleetRoute(route),
    organisation: { name: 'north', keys: [], priority: 0 },
    service: { name: 's', connectionLimit: 8 },
    body: Buffer.from('in2'),
    response: {} as ServerResponse,
    arrivedAtMilliseconds: 0,
  });

const begin = (call: Call, reading: ChainReading, isAvailable = true): Promise<RetentionDecision> =>
  new TurnRetention({
    isAvailable,
    readChain: async () => reading,
    keep: () => Promise.reject(new Error('not expected')),
  }).begin(call);

const FOUND: ChainReading = { kind: 'found', turns: [EARLIER] };

test('a call that continues a turn gets the turns before it', async () => {
  const call = createCall(HELD, { previousTurnId: 't1' });
  expect(await begin(call, FOUND)).toEqual({ kind: 'admitted' });
  expect(call.dispatchBody.toString()).toBe('in1out1\nin2');
  expect(call.body.toString()).toBe('in2');
});

test('a call at the start of a chain gets its input alone', async () => {
  const call = createCall(HELD, {});
  expect(await begin(call, { kind: 'absent' })).toEqual({ kind: 'admitted' });
  expect(call.dispatchBody.toString()).toBe('in2');
});

test('a turn that does not exist is refused as unknown', async () => {
  const decision = await begin(createCall(HELD, { previousTurnId: 't1' }), { kind: 'absent' });
  expect(decision).toEqual({ kind: 'refused', refusal: { kind: 'unknown-turn' } });
});

test('a turn that may exist is not refused as unknown', async () => {
  const decision = await begin(createCall(HELD, { previousTurnId: 't1' }), {
    kind: 'unsure',
    missing: 't1',
  });
  expect(decision).toMatchObject({ refusal: { kind: 'unavailable', retryAfterSeconds: 0.25 } });
});

test('a turn that could not be stored is refused before it runs', async () => {
  const decision = await begin(createCall(HELD, {}), FOUND, false);
  expect(decision).toMatchObject({ refusal: { kind: 'unavailable' } });
});

test('a stream of a retained turn is not resumed', async () => {
  const decision = await begin(createCall(HELD, { lastEventId: '3' }), FOUND);
  expect(decision).toMatchObject({ refusal: { kind: 'unavailable', retryAfterSeconds: 0 } });
});

test('a route that retains no turns reads none', async () => {
  const call = createCall({ context: { kind: 'carried' } }, { previousTurnId: 't1' });
  expect(await begin(call, { kind: 'absent' }, false)).toEqual({ kind: 'admitted' });
  expect(call.dispatchBody.toString()).toBe('in2');
});
