import { delay } from '@limpetnotch/supervision';
import type { BudgetDecision } from '../../src/budgets/budgetGate';
import { BudgetFleet } from './budgetFleet';

const TURN_TOKENS = 288;

const PROBE_MILLISECONDS = 350;

const createRequest = (limitTokens: number, isContinuation = false) => ({
  programId: 'organisation/program',
  limitTokens,
  turnTokens: TURN_TOKENS,
  isContinuation,
});

afterEach(() => {
  jest.restoreAllMocks();
});

const spendAll = async (
  reserve: () => Promise<BudgetDecision>,
  usedTokens: number,
): Promise<number> => {
  let spent = 0;
  for (;;) {
    const decision = await reserve();
    if (decision.kind !== 'reserved') return spent;
    decision.settle(usedTokens);
    spent += usedTokens;
  }
};

/** Ends all processes of a fleet in an outage, which is over when the new ones have started. */
const restartAllInOutage = async (fleet: BudgetFleet): Promise<void> => {
  fleet.instances.forEach((_instance, index) => fleet.restart(index));
  await fleet.endOutage();
  fleet.settleMembers();
  await Promise.all(fleet.instances.map((instance) => instance.restoreMemory()));
};

test('a budget is spent until no further turn fits', async () => {
  const fleet = new BudgetFleet(3);
  const { instances } = fleet;
  let spent = 0;
  for (let round = 0; round < 60; round += 1) {
    const decision = await instances[round % 3]!.reserve(createRequest(3_000));
    if (decision.kind === 'reserved') {
      decision.settle(100);
      spent += 100;
    }
  }
  expect(spent).toBeLessThanOrEqual(3_000);
  expect(spent).toBeGreaterThan(3_000 - TURN_TOKENS - 100);
});

test('concurrent releases all reach the store', async () => {
  const fleet = new BudgetFleet(3);
  const { instances } = fleet;
  const [first, second, third] = instances;
  ((await first!.reserve(createRequest(2_000))) as { settle(tokens: number): void }).settle(0);
  ((await second!.reserve(createRequest(2_000))) as { settle(tokens: number): void }).settle(0);
  for (let round = 0; round < 6; round += 1) {
    const decision = await third!.reserve(createRequest(2_000));
    expect(decision.kind).toBe('reserved');
  }
  expect((await third!.reserve(createRequest(2_000))).kind).toBe('spent');
});

test('an instance that cannot reach the store borrows from a peer', async () => {
  const fleet = new BudgetFleet(2);
  const { instances, store } = fleet;
  ((await instances[0]!.reserve(createRequest(8_000))) as { settle(tokens: number): void }).settle(
    50,
  );
  store.isDown = true;
  expect((await instances[1]!.reserve(createRequest(8_000))).kind).toBe('reserved');
});

test('a program that alternates between instances costs one write', async () => {
  const { instances, store } = new BudgetFleet(3);
  for (let round = 0; round < 12; round += 1) {
    const decision = await instances[round % 2]!.reserve(createRequest(6_000));
    if (decision.kind === 'reserved') decision.settle(72);
    expect(decision.kind).toBe('reserved');
  }
  expect(store.writes).toBe(1);
});

test('a program that is new to all instances gets an offline grant, which is recorded later', async () => {
  const fleet = new BudgetFleet(3);
  const { instances, store } = fleet;
  store.isDown = true;
  expect((await instances[0]!.reserve(createRequest(900))).kind).toBe('reserved');
  store.isDown = false;
  await instances[0]!.recordGrants();
  expect(store.values).toEqual([expect.objectContaining({ grantedTokens: 450 })]);
});

test('without the store an unresponsive member does not keep new programs from starting', async () => {
  const fleet = new BudgetFleet(4);
  fleet.store.isDown = true;
  fleet.unresponsive.add(3);
  const spent = await spendAll(
    () => fleet.instances[0]!.reserve(createRequest(4_000)),
    TURN_TOKENS,
  );
  expect(spent).toBeLessThanOrEqual(2_000);
  expect(spent).toBeGreaterThan(2_000 - TURN_TOKENS);
});

test('a program that started on an unresponsive member gets no offline grant', async () => {
  const fleet = new BudgetFleet(3);
  await fleet.instances[2]!.reserve(createRequest(4_000));
  fleet.store.isDown = true;
  fleet.unresponsive.add(2);
  const decision = await fleet.instances[0]!.reserve(createRequest(4_000));
  expect(decision.kind).toBe('unavailable');
  expect(fleet.instances[0]!.isUnavailable).toBe(true);
});

test('halves that cannot reach each other make no offline grants', async () => {
  const fleet = new BudgetFleet(4);
  fleet.store.isDown = true;
  fleet.isSplit = true;
  const first = await spendAll(
    () => fleet.instances[0]!.reserve(createRequest(4_000)),
    TURN_TOKENS,
  );
  const second = await spendAll(
    () => fleet.instances[3]!.reserve(createRequest(4_000)),
    TURN_TOKENS,
  );
  expect(first + second).toBe(0);
});

test('a budget is not exceeded if all instances restart after an offline grant', async () => {
  const fleet = new BudgetFleet(4);
  fleet.store.isDown = true;
  const granted = await spendAll(
    () => fleet.instances[0]!.reserve(createRequest(4_000)),
    TURN_TOKENS,
  );
  expect(granted).toBeGreaterThan(0);
  [0, 1, 2, 3].forEach((index) => fleet.restart(index));
  fleet.store.isDown = false;
  let rest = 0;
  for (let index = 0; index < 4; index += 1) {
    await fleet.instances[index]!.restoreMemory();
    rest += await spendAll(
      () => fleet.instances[index]!.reserve(createRequest(4_000)),
      TURN_TOKENS,
    );
  }
  expect(rest).toBeGreaterThan(0);
  expect(granted + rest).toBeLessThanOrEqual(4_000);
});

test('a restarted instance that has not read the store makes no offline grants', async () => {
  const fleet = new BudgetFleet(2);
  fleet.store.isDown = true;
  fleet.restart(0);
  const decision = await fleet.instances[0]!.reserve(createRequest(900));
  expect(decision.kind).toBe('unavailable');
});

test('a restarted instance that has learned the promises makes offline grants', async () => {
  const fleet = new BudgetFleet(4);
  await fleet.instances[0]!.reserve({ ...createRequest(4_000), programId: 'organisation/old' });
  fleet.restart(1);
  fleet.restart(2);
  fleet.settleMembers();
  expect(await fleet.instances[1]!.restoreMemory()).toBe(true);
  expect(await fleet.instances[2]!.restoreMemory()).toBe(true);
  fleet.store.isDown = true;
  const fresh = await fleet.instances[1]!.reserve(createRequest(4_000));
  expect(fresh.kind).toBe('reserved');
  fleet.unresponsive.add(0);
  const old = { ...createRequest(4_000), programId: 'organisation/old' };
  expect((await fleet.instances[2]!.reserve(old)).kind).toBe('unavailable');
});

// Half of a budget was granted in each of two outages: the first grant was lost with all processes,
// and the store does not list what was never recorded.
test('a grant that was lost with all processes is not made again', async () => {
  const fleet = new BudgetFleet(4);
  const limit = 8 * TURN_TOKENS;
  const spend = () =>
    spendAll(() => fleet.instances[0]!.reserve(createRequest(limit)), TURN_TOKENS);
  fleet.store.isDown = true;
  let spent = await spend();
  expect(spent).toBe(limit / 2);
  await restartAllInOutage(fleet);
  fleet.store.isDown = true;
  spent += await spend();
  await fleet.endOutage();
  await delay(PROBE_MILLISECONDS);
  await fleet.instances[0]!.reserve(createRequest(limit));
  await delay(1);
  spent += await spend();
  expect(spent).toBeLessThanOrEqual(limit + TURN_TOKENS);
});

// Two turns were granted to a program whose budget is less than two turns.
test('a small budget is granted once without the store', async () => {
  const fleet = new BudgetFleet(4);
  const limit = TURN_TOKENS;
  fleet.store.isDown = true;
  const spend = () =>
    spendAll(() => fleet.instances[0]!.reserve(createRequest(limit)), TURN_TOKENS);
  let spent = await spend();
  expect(spent).toBe(TURN_TOKENS);
  await restartAllInOutage(fleet);
  fleet.store.isDown = true;
  spent += await spend();
  expect(spent).toBe(TURN_TOKENS);
});

// The lender of an unrecorded grant ended, and the borrower took the whole budget from the store.
test('a grant is presumed by an instance that has borrowed a part of it', async () => {
  const fleet = new BudgetFleet(3);
  const limit = 8 * TURN_TOKENS;
  fleet.store.isDown = true;
  let spent = 0;
  const take = async (index: number): Promise<void> => {
    const decision = await fleet.instances[index]!.reserve(createRequest(limit));
    if (decision.kind !== 'reserved') return;
    decision.settle(TURN_TOKENS);
    spent += TURN_TOKENS;
  };
  await take(0);
  await take(1);
  await take(0);
  expect(spent).toBe(3 * TURN_TOKENS);
  fleet.unresponsive.add(0);
  fleet.unresponsive.add(2);
  fleet.store.isDown = false;
  await delay(PROBE_MILLISECONDS);
  for (let turn = 0; turn < 10; turn += 1) {
    await take(1);
    await delay(1);
  }
  expect(spent).toBeLessThanOrEqual(limit + TURN_TOKENS);
});

// Each of two halves took the other's instances for absent and granted on its own list of members.
test('a grant needs a majority of the members before and after an addition', async () => {
  const fleet = new BudgetFleet(3);
  fleet.add();
  fleet.add();
  fleet.settleMembers();
  await fleet.instances[3]!.restoreMemory();
  await fleet.instances[4]!.restoreMemory();
  fleet.store.isDown = true;
  fleet.unresponsive.add(1);
  fleet.unresponsive.add(2);
  expect((await fleet.instances[3]!.reserve(createRequest(4_000))).kind).toBe('unavailable');
});

// An instance of an earlier version grants on an answer alone, so that the answer must be the last.
test('a program is known after an instance of an earlier version has asked', async () => {
  const { instances } = new BudgetFleet(3);
  const request = {
    budget: 'budgets/key',
    limitTokens: 900,
    turnTokens: TURN_TOKENS,
    mayUseStore: false,
    requester: '',
    wantsPromise: false,
  };
  expect(await instances[0]!.lend(request)).toMatchObject({ isKnown: false, isMemoryWhole: true });
  expect(await instances[0]!.lend(request)).toMatchObject({ isKnown: true });
});

test('a turn is not delayed while the store is unreachable', async () => {
  const fleet = new BudgetFleet(2);
  fleet.store.isDown = true;
  await fleet.instances[0]!.reserve({ ...createRequest(900), programId: 'organisation/first' });
  const startedAtMilliseconds = performance.now();
  expect((await fleet.instances[0]!.reserve(createRequest(900))).kind).toBe('reserved');
  expect(performance.now() - startedAtMilliseconds).toBeLessThan(100);
});

test('an offline grant by a peer is presumed until it is recorded', async () => {
  const fleet = new BudgetFleet(3);
  fleet.store.isDown = true;
  const granted = await spendAll(
    () => fleet.instances[0]!.reserve(createRequest(4_000)),
    TURN_TOKENS,
  );
  expect(granted).toBeGreaterThan(0);
  fleet.store.isDown = false;
  fleet.unresponsive.add(0);
  // The others detect by a background probe that the store is reachable again.
  await delay(PROBE_MILLISECONDS);
  await fleet.instances[1]!.reserve(createRequest(4_000));
  await delay(1);
  const early = await fleet.instances[1]!.reserve(createRequest(4_000));
  expect(early.kind).toBe('reserved');
  expect(fleet.store.values).toEqual([expect.objectContaining({ presumedTokens: 2_000 })]);
  await fleet.instances[0]!.recordGrants();
  expect(fleet.store.values).toEqual([expect.objectContaining({ presumedTokens: 0 })]);
  const rest = await spendAll(() => fleet.instances[1]!.reserve(createRequest(4_000)), TURN_TOKENS);
  expect(granted + rest + TURN_TOKENS).toBeLessThanOrEqual(4_000);
  expect(rest).toBeGreaterThan(500);
});
