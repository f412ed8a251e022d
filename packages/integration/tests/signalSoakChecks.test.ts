import type { CallerOutcome, TargetRun } from '@limpetnotch/stand-ins';
import { eventText } from '@limpetnotch/stand-ins';
import { checkExchange } from '../src/signal-soak/checkExchange';
import { checkLifetime } from '../src/signal-soak/checkLifetime';
import { Lifetime } from '../src/signal-soak/lifetime';
import type { SoakExchange } from '../src/signal-soak/soakExchange';
import type { SoakSignal } from '../src/signal-soak/soakFault';
import { SOAK_ROUTES } from '../src/signal-soak/soakRoutes';

const SIGNATURE = 'signature';
const context = { graceMilliseconds: 6_000, targetEndedAt: () => undefined, lagWithin: () => 0 };

const createLifetime = (...signals: readonly (readonly [SoakSignal, number])[]): Lifetime => {
  const lifetime = new Lifetime('instance-0.1');
  lifetime.signals.push(
    ...signals.map(([signal, at]) => ({ signal, at, state: 'serving' }) as const),
  );
  return lifetime;
};

const run = (change: Partial<TargetRun> = {}): TargetRun => ({
  requestId: 'r1',
  version: 'v1',
  targetId: 'target-1',
  startedAt: 1_010,
  firstEvent: 1,
  signature: SIGNATURE,
  wasSilent: false,
  endedAt: 1_400,
  end: { kind: 'answered', status: 200, body: 'body' },
  ...change,
});

const answered = (status: number, signature?: string, body = 'body'): CallerOutcome => ({
  kind: 'answered',
  status,
  signature,
  body,
});

const broken = (status?: number, body = ''): CallerOutcome => ({
  kind: 'broken',
  status,
  body,
  detail: 'reset',
});

/** Creates a request to a route, sent at 1000 and ended at 1500 ms, with changes. */
const exchange = (
  name: string,
  outcome: CallerOutcome,
  runs: TargetRun[],
  change: Partial<SoakExchange> & { readonly endedAt?: number; readonly connectedAt?: number } = {},
): SoakExchange => ({
  route: SOAK_ROUTES.find((route) => route.name === name)!,
  steps: 3,
  deadlineMilliseconds: 10_000,
  lifetime: createLifetime(),
  runs,
  record: {
    request: {
      id: 'r1',
      method: 'GET',
      path: '/',
      headers: {},
      body: '',
      leaveAfterMilliseconds: undefined,
      giveUpAfterMilliseconds: 10_000,
    },
    connectedAt: change.connectedAt ?? 900,
    beganAt: 1_000,
    sentAt: 1_000,
    endedAt: change.endedAt ?? 1_500,
    outcome,
  },
  ...change,
});

const findChecks = (one: SoakExchange): readonly string[] =>
  checkExchange(one, context).map(({ check }) => check);

const cancelled = run({ end: { kind: 'cancelled' }, endedAt: 1_500 });
const reset = run({ end: { kind: 'broken', cause: 'reset' } });
const completeText = eventText('r1', 'v1', 1, 3);

test.each<[string, readonly string[], SoakExchange]>([
  ['a complete response', [], exchange('safe', answered(200, SIGNATURE), [run()])],
  ['a complete stream', [], exchange('stream', answered(200, SIGNATURE, completeText), [run()])],
  ['no response', ['lost'], exchange('safe', broken(), [cancelled])],
  ['a cut stream', ['lost'], exchange('stream', broken(200), [cancelled])],
  ['a stream cut by its target', [], exchange('stream', broken(200), [reset])],
  [
    'a request sent while the connection closed',
    [],
    exchange('safe', broken(), [], { endedAt: 1_150 }),
  ],
  ['a request closed later', ['lost'], exchange('safe', broken(), [])],
  [
    'a killed process',
    [],
    exchange('safe', broken(), [cancelled], { lifetime: createLifetime(['SIGKILL', 1_490]) }),
  ],
  [
    'a paused process',
    [],
    exchange('safe', broken(), [cancelled], { lifetime: createLifetime(['SIGSTOP', 800]) }),
  ],
  [
    'a request given up at the end of the grace period',
    [],
    exchange('safe', broken(), [run({ end: { kind: 'cancelled' }, endedAt: 3_600 })], {
      lifetime: createLifetime(['SIGTERM', -1_500]),
      endedAt: 3_600,
    }),
  ],
  [
    'a request sent late in the grace period and given up',
    ['lost'],
    exchange('safe', broken(), [cancelled], {
      lifetime: createLifetime(['SIGTERM', -3_600]),
      connectedAt: -3_700,
    }),
  ],
  ['a false refusal', ['refusal'], exchange('safe', answered(503), [run()])],
  [
    'a refusal by a target that has run the request',
    ['refusal'],
    exchange('unsafe', answered(503, SIGNATURE), [
      run({ end: { kind: 'answered', status: 503, body: 'body' } }),
    ]),
  ],
  [
    'a refusal by a target that has run a request which may be repeated',
    [],
    exchange('safe', answered(503, SIGNATURE), [
      run({ end: { kind: 'answered', status: 503, body: 'body' } }),
    ]),
  ],
  ['a denial', ['denied'], exchange('safe', answered(404), [])],
  ['a second run', ['twice'], exchange('unsafe-twice', answered(502), [run(), run()])],
  [
    'too many targets',
    ['targets'],
    exchange('safe', answered(200, SIGNATURE), [run(), run({ targetId: 'target-2' })]),
  ],
  [
    'a missing event',
    ['events'],
    exchange('stream', answered(200, SIGNATURE, eventText('r1', 'v1', 2, 3)), [run()]),
  ],
  [
    'a stream complete too early',
    ['events'],
    exchange('stream', answered(200, SIGNATURE, eventText('r1', 'v1', 1, 2)), [run()]),
  ],
  ['no signature', ['answer'], exchange('safe', answered(200), [run()])],
  ['another body', ['answer'], exchange('safe', answered(200, SIGNATURE, 'x'), [run()])],
  ['another signature', ['answer'], exchange('safe', answered(200, 'x'), [run()])],
  ['a late response', ['time'], exchange('safe', answered(504), [run()], { endedAt: 4_600 })],
  [
    'a connection opened late',
    ['new-connection'],
    exchange('safe', answered(503), [], {
      lifetime: createLifetime(['SIGTERM', 0]),
      connectedAt: 4_001,
    }),
  ],
  [
    'a run that outlives its caller',
    ['cancelled'],
    exchange('safe', { kind: 'left', body: '' }, [run({ endedAt: 2_600 })]),
  ],
])('%s', (_name, expected, one) => {
  expect(findChecks(one)).toEqual(expected);
});

test.each<[string, readonly string[], Partial<Lifetime>, SoakSignal]>([
  ['ended after SIGTERM', [], { end: 0 }, 'SIGTERM'],
  ['ended by a signal', ['exit'], { end: 'SIGHUP' }, 'SIGTERM'],
  ['ended with a code', ['exit'], { end: 1 }, 'SIGTERM'],
  ['ended by itself', ['exit'], { end: 0 }, 'SIGHUP'],
  ['killed', [], { end: 'SIGKILL' }, 'SIGKILL'],
  ['outlived its grace period', ['grace'], { hasOverrun: true }, 'SIGTERM'],
  ['ready for too long', ['readiness'], { lastReadyAt: 5_001 }, 'SIGTERM'],
])('a process, %s', (_name, expected, change, signal) => {
  const lifetime = Object.assign(createLifetime([signal, 1_000]), change);
  expect(checkLifetime(lifetime, context).map(({ check }) => check)).toEqual(expected);
});
