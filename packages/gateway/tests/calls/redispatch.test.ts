import type { FormerTarget, FormerTargetState } from '../../src/calls/dispatchHistory';
import type { DispatchSituation } from '../../src/calls/redispatch';
import { decideDispatch } from '../../src/calls/redispatch';
import { fleetTarget } from '../support/fleetTarget';

const former = (id: string, kind: 'reached' | 'silent' | 'unreachable'): FormerTarget => {
  const state: FormerTargetState = { kind };
  return { target: fleetTarget({ id }), state };
};

const situation = (change: Partial<DispatchSituation>): DispatchSituation => ({
  maximumTargets: 1,
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
