import { delay } from '@limpetnotch/supervision';
import type { BudgetDecision } from '../../src/budgets/budgetGate';
import { BudgetFleet } from './budgetFleet';

const TURN = 288;

const PROBE_MILLISECONDS = 350;

const turn = (limitTokens: number, isContinuation = false) => ({
  programId: 'organisation/program',
  limitTokens,
  turnTokens: TURN,
  isContinuation,
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

test('a budget is spent down to what no turn fits in', async () => {
  const fleet = new BudgetFleet(3);
  const { instances } = fleet;
  let spent = 0;
  for (let round = 0; round < 60; round += 1) {
    const decision = await instances[round % 3]!.reserve(turn(3_000));
    if (decision.kind === 'reserved') {
      decision.settle(100);
      spent += 100;
    }
  }
  expect(spent).toBeLessThanOrEqual(3_000);
  expect(spent).toBeGreaterThan(3_000 - TURN - 100);
});

test('releases at the same time all reach the store', async () => {
  const fleet = new BudgetFleet(3);
  const { instances } = fleet;
  const [first, second, third] = instances;
  ((await first!.reserve(turn(2_000))) as { settle(tokens: number): void }).settle(0);
  ((await second!.reserve(turn(2_000))) as { settle(tokens: number): void }).settle(0);
  for (let round = 0; round < 6; round += 1) {
    const decision = await third!.reserve(turn(2_000));
    expect(decision.kind).toBe('reserved');
  }
  expect((await third!.reserve(turn(2_000))).kind).toBe('spent');
});

test('an instance that is cut off borrows from a peer', async () => {
  const fleet = new BudgetFleet(2);
  const { instances, store } = fleet;
  ((await instances[0]!.reserve(turn(8_000))) as { settle(tokens: number): void }).settle(50);
  store.isDown = true;
  expect((await instances[1]!.reserve(turn(8_000))).kind).toBe('reserved');
});

test('a program that moves to and fro costs one write', async () => {
  const { instances, store } = new BudgetFleet(3);
  for (let round = 0; round < 12; round += 1) {
    const decision = await instances[round % 2]!.reserve(turn(6_000));
    if (decision.kind === 'reserved') decision.settle(72);
    expect(decision.kind).toBe('reserved');
  }
  expect(store.writes).toBe(1);
});

test('without the store only programs that are new to all are trusted', async () => {
  const fleet = new BudgetFleet(3);
  const { instances, store } = fleet;
  store.isDown = true;
  expect((await instances[0]!.reserve(turn(900))).kind).toBe('reserved');
  store.isDown = false;
  await instances[0]!.recordGrants();
  expect(store.values).toEqual([expect.objectContaining({ grantedTokens: 450 })]);
});

test('without the store a dead member does not keep new programs from starting', async () => {
  const fleet = new BudgetFleet(4);
  fleet.store.isDown = true;
  fleet.silent.add(3);
  const spent = await spendAll(() => fleet.instances[0]!.reserve(turn(4_000)), TURN);
  expect(spent).toBeLessThanOrEqual(2_000);
  expect(spent).toBeGreaterThan(2_000 - TURN);
});

test('without the store a program that began at a dead member is not trusted', async () => {
  const fleet = new BudgetFleet(3);
  await fleet.instances[2]!.reserve(turn(4_000));
  fleet.store.isDown = true;
  fleet.silent.add(2);
  const decision = await fleet.instances[0]!.reserve(turn(4_000));
  expect(decision.kind).toBe('unavailable');
  expect(fleet.instances[0]!.isCutOff).toBe(true);
});

test('halves that do not reach each other trust nobody', async () => {
  const fleet = new BudgetFleet(4);
  fleet.store.isDown = true;
  fleet.isSplit = true;
  const first = await spendAll(() => fleet.instances[0]!.reserve(turn(4_000)), TURN);
  const second = await spendAll(() => fleet.instances[3]!.reserve(turn(4_000)), TURN);
  expect(first + second).toBe(0);
});

test('a budget holds though all that trusted its program die during the outage', async () => {
  const fleet = new BudgetFleet(4);
  fleet.store.isDown = true;
  const trusted = await spendAll(() => fleet.instances[0]!.reserve(turn(4_000)), TURN);
  expect(trusted).toBeGreaterThan(0);
  [0, 1, 2, 3].forEach((index) => fleet.restart(index));
  fleet.store.isDown = false;
  let rest = 0;
  for (let index = 0; index < 4; index += 1) {
    await fleet.instances[index]!.learnBegun();
    rest += await spendAll(() => fleet.instances[index]!.reserve(turn(4_000)), TURN);
  }
  expect(rest).toBeGreaterThan(0);
  expect(trusted + rest).toBeLessThanOrEqual(4_000);
});

test('without the store nothing is trusted after a restart', async () => {
  const fleet = new BudgetFleet(2);
  fleet.store.isDown = true;
  fleet.restart(0);
  const decision = await fleet.instances[0]!.reserve(turn(900));
  expect(decision.kind).toBe('unavailable');
});

test('a restarted instance that has read the store trusts what is new', async () => {
  const fleet = new BudgetFleet(2);
  await fleet.instances[0]!.reserve({ ...turn(4_000), programId: 'organisation/old' });
  fleet.restart(0);
  fleet.restart(1);
  expect(await fleet.instances[0]!.learnBegun()).toBe(true);
  expect(await fleet.instances[1]!.learnBegun()).toBe(true);
  fleet.store.isDown = true;
  const fresh = await fleet.instances[0]!.reserve(turn(4_000));
  expect(fresh.kind).toBe('reserved');
  const old = { ...turn(4_000), programId: 'organisation/old' };
  expect((await fleet.instances[1]!.reserve(old)).kind).toBe('unavailable');
});

test('a turn is not held up while the store is away', async () => {
  const fleet = new BudgetFleet(2);
  fleet.store.isDown = true;
  await fleet.instances[0]!.reserve({ ...turn(900), programId: 'organisation/first' });
  const began = performance.now();
  expect((await fleet.instances[0]!.reserve(turn(900))).kind).toBe('reserved');
  expect(performance.now() - began).toBeLessThan(100);
});

test('a program trusted at a peer counts as such until that is recorded', async () => {
  const fleet = new BudgetFleet(3);
  fleet.store.isDown = true;
  const trusted = await spendAll(() => fleet.instances[0]!.reserve(turn(4_000)), TURN);
  expect(trusted).toBeGreaterThan(0);
  fleet.store.isDown = false;
  fleet.silent.add(0);
  // The others notice by a probe, beside the turns, that the store is back.
  await delay(PROBE_MILLISECONDS);
  await fleet.instances[1]!.reserve(turn(4_000));
  await delay(1);
  const early = await fleet.instances[1]!.reserve(turn(4_000));
  expect(early.kind).toBe('reserved');
  expect(fleet.store.values).toEqual([expect.objectContaining({ presumedTokens: 2_000 })]);
  await fleet.instances[0]!.recordGrants();
  expect(fleet.store.values).toEqual([expect.objectContaining({ presumedTokens: 0 })]);
  const rest = await spendAll(() => fleet.instances[1]!.reserve(turn(4_000)), TURN);
  expect(trusted + rest + TURN).toBeLessThanOrEqual(4_000);
  expect(rest).toBeGreaterThan(500);
});
