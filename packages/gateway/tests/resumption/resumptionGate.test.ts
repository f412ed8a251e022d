import type { ServerResponse } from 'node:http';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { WatchEvent, WatchOptions } from '@limpetnotch/store';
import { untilAborted } from '@limpetnotch/supervision';
import { errAsync, okAsync } from 'neverthrow';
import { Call } from '../../src/calls/call';
import type { TargetEntry } from '../../src/fleet/fleetCodec';
import { OriginSharing } from '../../src/resumption/originSharing';
import { OriginTable } from '../../src/resumption/originTable';
import { ResumptionGate } from '../../src/resumption/resumptionGate';
import { ServiceVersions } from '../../src/resumption/serviceVersions';
import type { StreamOrigin } from '../../src/resumption/streamOrigin';
import { callEnvelope } from '../support/callEnvelope';
import { fleetRoute } from '../support/fleetRoute';
import { fleetTarget } from '../support/fleetTarget';

const OBSERVATION_MILLISECONDS = 60_000;
/** Revision of the store when it lists the targets. */
const REVISION = 9;

let metrics: MemoryMetrics;
let table: OriginTable;
let versions: ServiceVersions;
/** Versions that the store lists; undefined while it is down. */
let listed: readonly string[] | undefined;
let listings: number;
/** Origin that the store has of the stream. */
let stored: StreamOrigin | undefined;
let storeReads: number;
/** Events that the store reports after the revision that the instance has observed. */
let changes: readonly WatchEvent[];

const list = () => {
  listings += 1;
  if (!listed) return errAsync({ kind: 'unavailable', detail: 'down' } as const);
  const entries = listed.map((value) => ({ key: value, value, revision: 1 }));
  return okAsync({ entries, revision: REVISION });
};

async function* watch({ fromRevision, signal }: WatchOptions): AsyncGenerator<WatchEvent> {
  yield* changes.filter((event) => 'revision' in event || event.entry.revision >= fromRevision);
  // The store reports nothing else for now.
  await untilAborted(signal);
}

const joined = (version: string, revision: number): WatchEvent => ({
  kind: 'put',
  entry: { key: 't/2', value: version, revision },
});

const PROGRESS: WatchEvent = { kind: 'progress', revision: REVISION };

const createGate = () =>
  new ResumptionGate({
    sharing: new OriginSharing({
      table,
      ledger: {
        record: () => undefined,
        find: async () => {
          storeReads += 1;
          return stored;
        },
      },
      peers: {
        names: [],
        recordOrigins: async () => undefined,
        findOrigin: async () => undefined,
      },
    }),
    versions,
    store: { list, watch },
    codec: {
      targetPrefix: 't/',
      decodeTarget: ({ value }): TargetEntry => ({
        kind: 'target',
        target: fleetTarget({ version: value }),
      }),
    },
    logger: silentLogger,
    metrics,
  });

const createResumption = (resumedRequestId?: string): Call =>
  new Call({
    envelope: callEnvelope({ id: 'r2', lastEventId: '1', resumedRequestId }),
    route: fleetRoute({
      execution: { kind: 'event-stream', isResumable: true, maximumGapMilliseconds: 200 },
    }),
    organisation: undefined,
    service: { name: 's', connectionLimit: 8 },
    body: Buffer.from(''),
    response: {} as ServerResponse,
    arrivedAtMilliseconds: performance.now(),
  });

beforeEach(() => {
  jest.useFakeTimers();
  metrics = new MemoryMetrics();
  table = new OriginTable();
  versions = new ServiceVersions();
  listed = ['v1'];
  listings = 0;
  stored = undefined;
  storeReads = 0;
  changes = [PROGRESS];
  versions.restart();
  versions.confirm(1);
  versions.observe([fleetTarget({ version: 'v1' })]);
});

afterEach(() => {
  jest.useRealTimers();
});

test('a recorded stream goes on without a call to the store', async () => {
  table.record({ streamKey: '/r1', origin: { service: 's', version: 'v2' } });
  expect(await createGate().admit(createResumption('r1'))).toMatchObject({
    kind: 'resumed',
    origin: { version: 'v2' },
  });
  expect(listings).toBe(0);
});

// All instances that knew the origin had been killed.
test('a stream whose origin only the store has goes on at an instance that has just started', async () => {
  stored = { service: 's', version: 'v2' };
  expect(await createGate().admit(createResumption('r1'))).toMatchObject({
    kind: 'resumed',
    origin: stored,
  });
});

test('a stream whose origin only the store has goes on while several versions serve', async () => {
  jest.advanceTimersByTime(OBSERVATION_MILLISECONDS);
  versions.observe(['v1', 'v2'].map((version) => fleetTarget({ id: version, version })));
  stored = { service: 's', version: 'v2' };
  expect(await createGate().admit(createResumption('r1'))).toMatchObject({ origin: stored });
});

test('origins are not read from the store while one version serves', async () => {
  jest.advanceTimersByTime(OBSERVATION_MILLISECONDS);
  await createGate().admit(createResumption('r1'));
  expect(storeReads).toBe(0);
});

test('an instance that has just started refuses a stream that nobody recorded', async () => {
  expect(await createGate().admit(createResumption('r1'))).toEqual({
    kind: 'refused',
    reason: 'unobserved',
  });
});

test('a stream that nobody recorded goes on while the store lists only the observed version', async () => {
  jest.advanceTimersByTime(OBSERVATION_MILLISECONDS);
  expect(await createGate().admit(createResumption('r1'))).toMatchObject({
    kind: 'resumed',
    origin: { service: 's', version: 'v1' },
  });
});

test('a version that only the store knows yet prevents the resumption', async () => {
  jest.advanceTimersByTime(OBSERVATION_MILLISECONDS);
  listed = ['v1', 'v2'];
  expect(await createGate().admit(createResumption('r1'))).toMatchObject({ kind: 'refused' });
});

test('an instance without the store refuses a stream that nobody recorded', async () => {
  jest.advanceTimersByTime(OBSERVATION_MILLISECONDS);
  listed = undefined;
  expect(await createGate().admit(createResumption('r1'))).toEqual({
    kind: 'refused',
    reason: 'unobserved',
  });
});

test('streams that are resumed at the same time take one call to the store', async () => {
  jest.advanceTimersByTime(OBSERVATION_MILLISECONDS);
  const gate = createGate();
  const calls = ['r1', 'r3', undefined].map((id) => createResumption(id));
  await Promise.all(calls.map((call) => gate.admit(call)));
  expect(listings).toBe(1);
});

// An instance that was cut off during a release let a stream of the new version go on at the old one.
test('a version that joined and left unobserved prevents the resumption', async () => {
  jest.advanceTimersByTime(OBSERVATION_MILLISECONDS);
  changes = [joined('v2', 5), { kind: 'removed', key: 't/2', revision: 6 }, PROGRESS];
  expect(await createGate().admit(createResumption('r1'))).toEqual({
    kind: 'refused',
    reason: 'several-versions',
  });
});

test('a stream goes on if the changes that were missed have its version', async () => {
  jest.advanceTimersByTime(OBSERVATION_MILLISECONDS);
  changes = [joined('v1', 5), PROGRESS];
  expect(await createGate().admit(createResumption('r1'))).toMatchObject({ kind: 'resumed' });
});

test('changes that the store does not report in time prevent the resumption', async () => {
  jest.advanceTimersByTime(OBSERVATION_MILLISECONDS);
  changes = [{ kind: 'progress', revision: REVISION - 1 }];
  const decision = createGate().admit(createResumption('r1'));
  await jest.advanceTimersByTimeAsync(400);
  expect(await decision).toEqual({ kind: 'refused', reason: 'unobserved' });
});
