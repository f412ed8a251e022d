import { DispatchHistory } from '../../src/calls/dispatchHistory';
import { fleetTarget } from '../support/fleetTarget';

test('a declined dispatch is no run', () => {
  const history = new DispatchHistory();
  history.record(fleetTarget({ id: '1' }), { kind: 'declined', reason: 'full' }, true);
  expect([history.runs, history.openTargets]).toEqual([0, 0]);
});

test('a decline after a run leaves that run', () => {
  const history = new DispatchHistory();
  history.record(fleetTarget({ id: '1' }), { kind: 'broken', detail: '' }, true);
  history.record(fleetTarget({ id: '1' }), { kind: 'declined', reason: 'full' }, true);
  expect([history.runs, history.openTargets]).toEqual([1, 1]);
});

test('a dispatch that was never sent is no run', () => {
  const history = new DispatchHistory();
  history.record(fleetTarget({ id: '1' }), { kind: 'stalled', detail: '' }, false);
  expect([history.runs, history.openTargets]).toEqual([0, 0]);
});

test('a target that is known to have ended is not open', () => {
  const history = new DispatchHistory();
  history.record(fleetTarget({ id: '1' }), { kind: 'broken', detail: '' }, true);
  history.record(fleetTarget({ id: '2' }), { kind: 'broken', detail: '' }, true);
  history.record(
    fleetTarget({ id: '1' }),
    { kind: 'not-sent', detail: '', isRefused: true },
    false,
  );
  expect([history.runs, history.openTargets]).toEqual([2, 1]);
});

test('targets that may have run a request are open until they are known to have ended', () => {
  const history = new DispatchHistory();
  history.record(fleetTarget({ id: '1' }), { kind: 'stalled', detail: '' }, true);
  history.record(fleetTarget({ id: '2' }), { kind: 'delivered', status: 200 }, true);
  expect(history.openTargets).toBe(2);
  history.record(fleetTarget({ id: '1' }), { kind: 'declined', reason: 'misdirected' }, true);
  expect(history.openTargets).toBe(1);
});
