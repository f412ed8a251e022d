import fc from 'fast-check';
import type { AttemptOutcome } from '../../src/calls/attemptOutcome';
import { DispatchHistory } from '../../src/calls/dispatchHistory';
import type { FormerTarget, FormerTargetState } from '../../src/calls/dispatchHistory';
import type { DispatchSituation } from '../../src/calls/redispatch';
import { decideDispatch } from '../../src/calls/redispatch';
import { fleetTarget } from '../support/fleetTarget';

type FormerKind = Exclude<FormerTargetState['kind'], 'ended'>;

const former = (id: string, kind: FormerKind): FormerTarget => {
  const state: FormerTargetState = { kind };
  return { target: fleetTarget({ id }), state };
};

const situation = (change: Partial<DispatchSituation>): DispatchSituation => ({
  maximumTargets: 1,
  remainingMilliseconds: 4_000,
  formerTargets: [],
  silences: 0,
  repeats: 0,
  serving: [fleetTarget({ id: '1' }), fleetTarget({ id: '2' })],
  passedOverIds: new Set(),
  mayRepeat: () => true,
  ...change,
});

test('a first dispatch may go to any target that serves', () => {
  const decision = decideDispatch(situation({ passedOverIds: new Set(['1']) }));
  expect(decision).toEqual({ kind: 'dispatch', candidates: [fleetTarget({ id: '2' })] });
});

test('a silent target keeps its place', () => {
  const formerTargets = [former('1', 'silent')];
  const decision = decideDispatch(situation({ formerTargets, silences: 1 }));
  expect(decision).toMatchObject({ kind: 'repeat', target: { id: '1' } });
});

test('a second silence ends the request', () => {
  const formerTargets = [former('1', 'silent')];
  const decision = decideDispatch(situation({ formerTargets, silences: 2, repeats: 1 }));
  expect(decision).toEqual({ kind: 'give-up', reason: 'silent' });
});

test('a silent target is avoided while another one is allowed', () => {
  const formerTargets = [former('1', 'silent')];
  const decision = decideDispatch(situation({ formerTargets, silences: 1, maximumTargets: 2 }));
  expect(decision).toEqual({ kind: 'dispatch', candidates: [fleetTarget({ id: '2' })] });
});

test('a request is repeated twice at most', () => {
  const formerTargets = [former('1', 'reached')];
  const decision = decideDispatch(situation({ formerTargets, repeats: 2 }));
  expect(decision).toEqual({ kind: 'give-up', reason: 'repeated' });
});

test('a request goes on at the target that answers rather than at the silent one', () => {
  const formerTargets = [former('1', 'reached'), former('2', 'silent')];
  const decision = decideDispatch(situation({ formerTargets, silences: 1, maximumTargets: 2 }));
  expect(decision).toMatchObject({ kind: 'repeat', target: { id: '1' } });
});

test('a target that can not be connected to keeps its place', () => {
  const formerTargets = [former('1', 'unreachable')];
  const decision = decideDispatch(situation({ formerTargets, repeats: 1 }));
  expect(decision).toEqual({ kind: 'give-up', reason: 'unreachable' });
});

test('a target that left a moment ago is asked again', () => {
  const formerTargets = [former('gone', 'reached')];
  const decision = decideDispatch(situation({ formerTargets }));
  expect(decision).toMatchObject({ kind: 'repeat', target: { id: 'gone' } });
});

test('a target that left long ago keeps its place', () => {
  const formerTargets = [former('gone', 'reached')];
  const decision = decideDispatch(situation({ formerTargets, mayRepeat: () => false }));
  expect(decision).toEqual({ kind: 'give-up', reason: 'departed' });
});

test('a full target keeps its place and is asked again after a pause', () => {
  const formerTargets = [former('1', 'full')];
  const decision = decideDispatch(situation({ formerTargets, repeats: 1 }));
  expect(decision).toMatchObject({ kind: 'repeat', target: { id: '1' }, pauseMilliseconds: 250 });
});

test('a pause that outlasts the deadline is not begun', () => {
  const formerTargets = [former('1', 'full')];
  const decision = decideDispatch(situation({ formerTargets, remainingMilliseconds: 200 }));
  expect(decision).toEqual({ kind: 'give-up', reason: 'full' });
});

test('a target that has ended gives its place away', () => {
  const ended: FormerTarget = {
    target: fleetTarget({ id: '1' }),
    state: { kind: 'ended', evidence: 'connection-refused' },
  };
  const decision = decideDispatch(situation({ formerTargets: [ended] }));
  expect(decision).toEqual({ kind: 'dispatch', candidates: [fleetTarget({ id: '2' })] });
});

const OUTCOMES: readonly AttemptOutcome[] = [
  { kind: 'broken', detail: '' },
  { kind: 'stalled', detail: '' },
  { kind: 'declined', reason: 'full' },
  { kind: 'declined', reason: 'misdirected' },
  { kind: 'not-sent', detail: '', isRefused: false },
  { kind: 'not-sent', detail: '', isRefused: true },
];

test('no series of faults takes a request to more targets than its route allows', () => {
  const serving = ['1', '2', '3', '4'].map((id) => fleetTarget({ id }));
  const step = fc.record({ outcome: fc.constantFrom(...OUTCOMES), draw: fc.nat(3) });
  const series = fc.array(step, { minLength: 1, maxLength: 8 });
  const property = fc.property(fc.integer({ min: 1, max: 3 }), series, (maximumTargets, steps) => {
    const history = new DispatchHistory();
    let repeats = 0;
    for (const { outcome, draw } of steps) {
      const { formerTargets, silences, passedOverIds } = history;
      const known = { maximumTargets, formerTargets, silences, passedOverIds, repeats, serving };
      const decision = decideDispatch(situation(known));
      if (decision.kind === 'give-up') return;
      if (decision.kind === 'repeat') repeats += 1;
      const target =
        decision.kind === 'repeat'
          ? decision.target
          : decision.candidates[draw % decision.candidates.length]!;
      history.record(target, outcome, outcome.kind !== 'not-sent');
      expect(history.openTargets).toBeLessThanOrEqual(maximumTargets);
      expect(repeats).toBeLessThanOrEqual(2);
    }
  });
  fc.assert(property, { seed: 17, numRuns: 2_000 });
});
