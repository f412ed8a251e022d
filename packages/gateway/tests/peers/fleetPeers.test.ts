import type { ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import {
  FleetService,
  LendBudgetResponse_Outcome as LendOutcome,
} from '@limpetnotch/peer-protocol';
import { HttpListener } from '../../src/ingress/httpListener';
import { createFleetPeers } from '../support/createFleetPeers';

let listener: HttpListener | undefined;

const peers = createFleetPeers();

afterEach(async () => {
  peers.close();
  await listener?.close();
});

/** Starts a peer of an earlier version, which has only some calls. */
const startOld = async (calls: Partial<ServiceImpl<typeof FleetService>>): Promise<void> => {
  listener = await HttpListener.start({
    host: '127.0.0.1',
    port: 0,
    listener: connectNodeAdapter({ routes: (router) => router.service(FleetService, calls) }),
  });
  peers.setPeers(new Map([['old', `127.0.0.1:${listener.port}`]]));
};

test('calls that a peer of an earlier version lacks do not suspend its other calls', async () => {
  await startOld({ takeTokens: async () => ({ given: 1 }) });
  for (let call = 0; call < 4; call += 1) expect(await peers.listLimits('old')).toBeUndefined();
  const tokens = await peers.takeTokens('organisation', { wanted: 1, ahead: 2 });
  expect(tokens).toEqual({ given: 1, ahead: 0, nextMilliseconds: undefined });
});

// Answers of an instance that makes no promises, counted as promises, let two instances grant.
test('an answer of an earlier version is no promise, and its promises are not listed', async () => {
  await startOld({
    lendBudget: async () => ({ outcome: LendOutcome.UNAVAILABLE, isMemoryWhole: true }),
  });
  const request = {
    budget: 'budgets/key',
    limitTokens: 900,
    turnTokens: 288,
    mayUseStore: true,
    requester: 'new/1',
    wantsPromise: true,
  };
  expect(await peers.borrowBudget(request)).toEqual({
    kind: 'none',
    isKnown: false,
    promisers: [],
  });
  expect(await peers.listPromises(['old'])).toEqual([]);
});

test('promises that an earlier version lists are told without their processes', async () => {
  await startOld({ listPromises: async () => ({ budgets: ['key'], isMemoryWhole: true }) });
  expect(await peers.listPromises(['old', 'absent'])).toEqual([
    {
      name: 'old',
      promises: [{ budgetKey: 'key', process: '' }],
      isComplete: true,
      canUseStore: true,
      memberLists: [],
    },
  ]);
});
