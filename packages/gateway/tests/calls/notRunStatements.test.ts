import fc from 'fast-check';
import { delay } from '@limpetnotch/supervision';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { BUDGETED_TURN } from '../support/budgetedTurn';
import type { CallerView } from '../support/callHarness';
import { CallHarness } from '../support/callHarness';
import { ScriptedTargets } from '../support/scriptedTargets';
import type { ScriptedDispatch, TargetStep } from '../support/scriptedTargets';

const STREAM = { kind: 'event-stream', maximumGapMilliseconds: 200 } as const;

const ROUTES: readonly { readonly execution: RouteExecution; readonly isRepeatable: boolean }[] = [
  { execution: { kind: 'at-most-once' }, isRepeatable: false },
  { execution: { ...STREAM, isResumable: false }, isRepeatable: false },
  { execution: { kind: 'idempotent' }, isRepeatable: true },
  { execution: { ...STREAM, isResumable: true }, isRepeatable: true },
];

/** Statuses that callers take for the statement that a request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Tells the caller of a turn with a token budget that the turn has not run. */
const BUDGET_SPENT_STATUS = 402;

const PATIENCE_MILLISECONDS = 250;

/** Longer than any scripted pause, so that targets have begun what they will run. */
const LATE_RUN_MILLISECONDS = 30;

const targetStep: fc.Arbitrary<TargetStep> = fc.oneof(
  fc.record({
    kind: fc.constant('answers' as const),
    status: fc.constantFrom(200, 500, 402, 408, 429, 503, 503),
    isWhole: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('declines' as const),
    status: fc.constantFrom(...NOT_RUN_STATUSES),
  }),
  fc.record({ kind: fc.constant('breaks' as const), hasRun: fc.boolean() }),
  fc.constantFrom<TargetStep>({ kind: 'answers-another' }, { kind: 'hangs' }),
);

const dispatch: fc.Arbitrary<ScriptedDispatch> = fc.record({
  target: targetStep,
  pauseMilliseconds: fc.integer({ min: 0, max: 15 }),
  forwarder: fc.oneof(
    fc.constant('sends' as const),
    fc.constantFrom(
      ...(['is-lost', 'declined', 'target-unavailable', 'refused', 'not-sent', 'broken'] as const),
    ),
  ),
});

/** When something interrupts the request, if ever. */
const moment = fc.option(fc.integer({ min: 0, max: 40 }), { nil: undefined, freq: 2 });

const scenarioArbitrary = fc.record({
  route: fc.constantFrom(...ROUTES),
  /** Whether the request is a turn of a program with a token budget. */
  isTurn: fc.boolean(),
  maximumTargets: fc.integer({ min: 1, max: 3 }),
  dispatches: fc.array(dispatch, { minLength: 1, maxLength: 6 }),
  /** For each target, whether it is reached only through other instances. */
  forwarded: fc.array(fc.boolean(), { minLength: 1, maxLength: 3 }),
  shutdownAt: moment,
  quarantineAt: moment,
});

type Scenario = typeof scenarioArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** Has the instance end its last calls, or the request quarantined, at the scripted moments. */
const planInterruptions = (harness: CallHarness, scenario: Scenario): void => {
  const { shutdownAt, quarantineAt } = scenario;
  const shutdown = new AbortController();
  const interrupted = harness;
  interrupted.endSignal = shutdown.signal;
  if (shutdownAt !== undefined) setTimeout(() => shutdown.abort(), shutdownAt);
  if (quarantineAt === undefined) return;
  setTimeout(() => {
    jest.spyOn(harness.quarantine, 'stageOf').mockReturnValue('quarantined');
  }, quarantineAt);
};

/** Returns no view for a connection that was closed without an answer, which states nothing. */
const toConnectionClosed = (error: Error): undefined => {
  if (!('code' in error) || error.code !== 'ECONNRESET') throw error;
};

/** Whether the caller takes the status for the statement that its request has not run. */
const deniesRun = ({ route, isTurn }: Scenario, { status, result }: CallerView): boolean => {
  if (status === BUDGET_SPENT_STATUS) return isTurn;
  const isOwn = result.kind === 'refused';
  return NOT_RUN_STATUSES.includes(status) && (isOwn || !route.isRepeatable);
};

const play = async (scenario: Scenario): Promise<void> => {
  const { route, isTurn, maximumTargets, dispatches, forwarded } = scenario;
  const targets = new ScriptedTargets(dispatches);
  const forwardedIds = new Set(forwarded.flatMap((is, index) => (is ? [`t${index}`] : [])));
  const access = targets.createAccess((id) => forwardedIds.has(id));
  const harness = new CallHarness(undefined, {}, access);
  try {
    for (const index of forwarded.keys()) await harness.addTarget(`t${index}`, targets.handle);
    planInterruptions(harness, scenario);
    const view = await harness
      .run({ execution: route.execution, maximumTargets }, 'r1', {
        patienceMilliseconds: PATIENCE_MILLISECONDS,
        ...(isTurn && BUDGETED_TURN),
      })
      .catch(toConnectionClosed);
    await delay(LATE_RUN_MILLISECONDS);
    if (view && deniesRun(scenario, view)) {
      expect({ status: view.status, runs: targets.runs }).toEqual({ status: view.status, runs: 0 });
    }
    if (!route.isRepeatable) expect(targets.runs).toBeLessThanOrEqual(1);
    // The refusals are right where they are made; the last check of them found nothing.
    expect(harness.metrics.counter('call.withheld-refusals')).toBe(0);
  } finally {
    await harness.close();
  }
};

// Guards against answers that deny a run which is not known not to have happened.
test('a request whose caller reads that it has not run has not run', async () => {
  await fc.assert(fc.asyncProperty(scenarioArbitrary, play), { seed: 66, numRuns: 150 });
}, 120_000);
