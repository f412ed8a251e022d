import type { RequestListener } from 'node:http';
import { Executed } from '@limpetnotch/peer-protocol';
import { runOwnedCall } from '../support/runOwnedCall';

const serve: RequestListener = (_request, response) => response.end('ok');

const breakOff: RequestListener = (request) => request.socket.destroy();

const runAt = async (targets: readonly RequestListener[]) => {
  const commitError = { kind: 'deposed' } as const;
  const view = await runOwnedCall({ isIdempotent: false, isChat: false, targets, commitError });
  return view.events.at(-1)?.event;
};

// The entry could not tell these owners from one that never had the call.
test('an owner that loses its partition after a run reports the run', async () => {
  expect(await runAt([serve])).toMatchObject({
    case: 'notOwner',
    value: { epoch: 7, executed: Executed.YES },
  });
});

test('an owner that loses its partition after a broken attempt reports that it may have run', async () => {
  expect(await runAt([breakOff])).toMatchObject({
    case: 'notOwner',
    value: { executed: Executed.UNKNOWN },
  });
});

test('an owner that loses its partition without an attempt reports that there was no run', async () => {
  expect(await runAt([])).toMatchObject({ case: 'notOwner', value: { executed: Executed.NO } });
});
