import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { EscrowBudgets } from '../../src/budgets/escrowBudgets';
import type { Loan, LoanRequest } from '../../src/budgets/loan';
import { MemoryStore } from './memoryStore';

const TURN = 288;

interface Fleet {
  readonly store: MemoryStore;
  readonly instances: readonly EscrowBudgets[];
}

/** Asks the others as their connections would. */
const borrowFrom = async (
  others: readonly EscrowBudgets[],
  request: LoanRequest,
): Promise<Loan> => {
  let unaware = 0;
  for (const other of others) {
    const answer = await other.lend(request);
    if (answer.kind !== 'none') return answer;
    unaware += !answer.isKnown && answer.isMemoryWhole ? 1 : 0;
  }
  return { kind: 'none', isUnknownToAll: unaware === others.length };
};

const startFleet = (count: number, isMemoryWhole = true): Fleet => {
  const store = new MemoryStore();
  const instances: EscrowBudgets[] = [];
  for (let index = 0; index < count; index += 1) {
    const others = (): EscrowBudgets[] => instances.filter((_one, other) => other !== index);
    instances.push(
      new EscrowBudgets({
        store: store.client,
        logger: silentLogger,
        metrics: new MemoryMetrics(),
        recall: async (key) => {
          const released = await Promise.all(others().map((other) => other.release(key)));
          return released.reduce((sum, tokens) => sum + tokens, 0);
        },
        borrow: (request) => borrowFrom(others(), request),
        isMemoryWhole: () => isMemoryWhole,
      }),
    );
  }
  return { store, instances };
};

const turn = (limitTokens: number, isContinuation = false) => ({
  programId: 'organisation/program',
  limitTokens,
  turnTokens: TURN,
  isContinuation,
});

test('a budget is spent down to what no turn fits in', async () => {
  const { instances } = startFleet(3);
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
  const { instances } = startFleet(3);
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
  const { store, instances } = startFleet(2);
  ((await instances[0]!.reserve(turn(8_000))) as { settle(tokens: number): void }).settle(50);
  store.isDown = true;
  jest.useFakeTimers();
  const pending = instances[1]!.reserve(turn(8_000));
  await jest.advanceTimersByTimeAsync(2_000);
  expect((await pending).kind).toBe('reserved');
  jest.useRealTimers();
});

test('without the store only programs that are new to all are trusted', async () => {
  const { store, instances } = startFleet(3);
  store.isDown = true;
  jest.useFakeTimers();
  const first = instances[0]!.reserve(turn(900));
  await jest.advanceTimersByTimeAsync(2_000);
  expect((await first).kind).toBe('reserved');
  jest.useRealTimers();
  store.isDown = false;
  await instances[0]!.recordGrants();
  expect(store.values).toEqual([expect.objectContaining({ grantedTokens: 900 })]);
});

test('without the store nothing is trusted after a restart', async () => {
  const { store, instances } = startFleet(2, false);
  store.isDown = true;
  jest.useFakeTimers();
  const pending = instances[0]!.reserve(turn(900));
  await jest.advanceTimersByTimeAsync(2_000);
  expect((await pending).kind).toBe('unavailable');
  expect(instances[0]!.isCutOff).toBe(true);
  jest.useRealTimers();
});
