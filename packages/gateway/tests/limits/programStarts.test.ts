import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { TargetSpeeds } from '@limpetnotch/scheduling';
import type { ServerResponse } from 'node:http';
import { Call } from '../../src/calls/call';
import { FleetState } from '../../src/fleet/fleetState';
import type { FleetConfiguration } from '../../src/configuration/fleetConfiguration';
import { ProgramStarts } from '../../src/limits/programStarts';
import { TargetLoads } from '../../src/targets/targetLoads';
import { callEnvelope } from '../support/callEnvelope';
import { fleetRoute } from '../support/fleetRoute';
import { fleetTarget } from '../support/fleetTarget';

const configuration: FleetConfiguration = {
  version: 1,
  routes: [fleetRoute({})],
  services: [{ name: 's', connectionLimit: 8 }],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  },
};

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

interface Setup {
  readonly fleet: FleetState;
  readonly limits: Map<string, number>;
  readonly known: Set<string>;
  readonly starts: ProgramStarts;
}

const createStarts = (): Setup => {
  const limits = new Map<string, number>();
  const known = new Set<string>();
  const fleet = new FleetState();
  fleet.apply(configuration);
  ['t0', 't1'].forEach((id) =>
    fleet.targets.put(fleetTarget({ id, address: `127.0.0.1:${id}`, availabilityZone: id })),
  );
  const starts = new ProgramStarts({
    fleet,
    gate: {
      isLimited: ({ id }) => limits.has(id),
      getRequestsPerSecond: ({ id }) => limits.get(id),
    },
    loads: new TargetLoads(),
    speeds: new TargetSpeeds(),
    instanceCount: () => 1,
    isAnyLimited: () => limits.size > 0,
    hasStarted: (programKey) => known.has(programKey),
    logger: silentLogger,
    metrics: new MemoryMetrics(),
  });
  return { fleet, limits, known, starts };
};

const turn = (id: string, session = id): Call =>
  new Call({
    envelope: callEnvelope({
      program: { id, session, finishMilliseconds: 3_000, tokenBudget: undefined },
      prompt: {
        inputTokens: 100,
        maximumOutputTokens: 10,
        expectedOutputTokens: undefined,
        parts: [],
      },
    }),
    route: fleetRoute({}),
    organisation: undefined,
    service: { name: 's', connectionLimit: 8 },
    body: Buffer.alloc(0),
    response: {} as ServerResponse,
    arrivedAtMilliseconds: performance.now(),
  });

const startMany = ({ starts }: Setup, count: number): readonly string[] =>
  Array.from({ length: count }, (_value, index) => {
    jest.advanceTimersByTime(10);
    return starts.admit(turn(`p${index}`), `p${index}`).kind;
  });

test('programs start freely while no target names a limit', () => {
  const setup = createStarts();
  expect(startMany(setup, 50)).not.toContain('refused');
});

test('under limits only as many programs start as can be served', () => {
  const setup = createStarts();
  setup.limits.set('t0', 4).set('t1', 4);
  const admitted = startMany(setup, 50).filter((kind) => kind === 'admitted');
  expect(admitted.length).toBeGreaterThanOrEqual(2);
  expect(admitted.length).toBeLessThanOrEqual(5);
});

test('the limits of evacuated targets admit no programs', () => {
  const setup = createStarts();
  setup.limits.set('t0', 4).set('t1', 400);
  setup.fleet.evacuations.start('t1');
  const admitted = startMany(setup, 50).filter((kind) => kind === 'admitted');
  expect(admitted.length).toBeLessThanOrEqual(5);
});

test('a program that is under way here or elsewhere goes on', () => {
  const setup = createStarts();
  setup.limits.set('t0', 1).set('t1', 1);
  startMany(setup, 50);
  setup.known.add('elsewhere');
  expect(setup.starts.admit(turn('p0'), 'p0').kind).toBe('admitted');
  expect(setup.starts.admit(turn('elsewhere'), 'elsewhere').kind).toBe('admitted');
  expect(setup.starts.admit(turn('helper', 'line'), 'helper').kind).toBe('admitted');
});

test('refused programs get times to return that are spread', () => {
  const setup = createStarts();
  setup.limits.set('t0', 4).set('t1', 4);
  startMany(setup, 20);
  const times = [1, 2, 3].map((index) => {
    const decision = setup.starts.admit(turn(`q${index}`), `q${index}`);
    return decision.kind === 'refused' ? decision.retryAfterSeconds : 0;
  });
  times.forEach((seconds) => expect(seconds).toBeGreaterThanOrEqual(0.1));
  expect(new Set(times).size).toBe(3);
});
