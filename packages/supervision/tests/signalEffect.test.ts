import type { ProcessState, SignalEffect, SignalMeaning } from '../src/signalEffect';
import { getSignalEffect } from '../src/signalEffect';

type Kind = SignalEffect['kind'];

const TABLE: readonly [SignalMeaning, ProcessState, Kind][] = [
  ['stop', 'starting', 'stop'],
  ['stop', 'serving', 'stop'],
  ['stop', 'reloading', 'stop'],
  ['stop', 'draining', 'none'],
  ['stop', 'ended', 'none'],
  ['reload', 'starting', 'reload-after-start'],
  ['reload', 'serving', 'reload'],
  ['reload', 'reloading', 'reload-again'],
  ['reload', 'draining', 'none'],
  ['reload', 'ended', 'none'],
  ['none', 'starting', 'none'],
  ['none', 'serving', 'none'],
  ['none', 'reloading', 'none'],
  ['none', 'draining', 'none'],
  ['none', 'ended', 'none'],
];

test.each(TABLE)('%s while %s causes %s', (meaning, state, kind) => {
  expect(getSignalEffect(meaning, state).kind).toBe(kind);
});
