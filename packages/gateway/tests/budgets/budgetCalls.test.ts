import { BudgetFleet } from './budgetFleet';

const SIZES = [4, 23, 68, 150];

const RETRY_MILLISECONDS = 100;

const request = {
  programId: 'organisation/program',
  limitTokens: 3_000,
  turnTokens: 288,
  isContinuation: false,
};

afterEach(() => {
  jest.restoreAllMocks();
});

// Each retry that found the budget spent asked all instances twice a second.
test.each(SIZES)('a program that runs away costs few calls at %i instances', async (size) => {
  const fleet = new BudgetFleet(size);
  const first = fleet.instances[0]!;
  const retries = 60;
  for (let retry = 0; retry < retries; retry += 1) {
    const decision = await first.reserve(request);
    if (decision.kind === 'reserved') decision.settle(request.turnTokens);
    fleet.skip(RETRY_MILLISECONDS);
  }
  expect(fleet.calls).toBe(0);
  expect(fleet.store.writes).toBeLessThan(12);
});

// The four instances asked were not those that held tokens.
test.each(SIZES)(
  'a program that moves asks only those that hold its tokens at %i instances',
  async (size) => {
    const fleet = new BudgetFleet(size);
    const { instances } = fleet;
    const turn = async (index: number, isContinuation: boolean): Promise<string> => {
      const decision = await instances[index]!.reserve({ ...request, isContinuation });
      if (decision.kind === 'reserved') decision.settle(10);
      return decision.kind;
    };
    expect(await turn(size - 1, false)).toBe('reserved');
    expect(await turn(0, true)).toBe('reserved');
    expect(await turn(Math.floor(size / 2), true)).toBe('reserved');
    expect(fleet.calls).toBeLessThanOrEqual(4);
    expect(fleet.store.writes).toBeLessThanOrEqual(3);
    expect(fleet.announced).toHaveLength(1);
  },
);

test.each(SIZES)('tokens that were lent on are recalled at %i instances', async (size) => {
  const fleet = new BudgetFleet(size);
  const { instances } = fleet;
  const spend = async (index: number, used: number): Promise<string> => {
    const decision = await instances[index]!.reserve({ ...request, isContinuation: true });
    if (decision.kind === 'reserved') decision.settle(used);
    return decision.kind;
  };
  await spend(0, 10);
  await spend(1, 10);
  await spend(2, 10);
  let spent = 30;
  while ((await spend(3, request.turnTokens)) === 'reserved') spent += request.turnTokens;
  expect(spent).toBeGreaterThan(request.limitTokens - request.turnTokens);
  expect(spent).toBeLessThanOrEqual(request.limitTokens + request.turnTokens);
});

test('a budget that an instance of an earlier version has written is recalled from all', async () => {
  const fleet = new BudgetFleet(4);
  const { instances, store } = fleet;
  const settled = await instances[0]!.reserve(request);
  if (settled.kind === 'reserved') settled.settle(10);
  const [entry] = store.entries;
  const { holders, ...earlier } = JSON.parse(entry!.value);
  expect(holders).toEqual(['i0']);
  await store.client.compareAndSwap({
    key: entry!.key,
    expectedRevision: entry!.revision,
    value: JSON.stringify(earlier),
  });
  let spent = 10;
  for (;;) {
    const decision = await instances[2]!.reserve(request);
    if (decision.kind !== 'reserved') break;
    decision.settle(request.turnTokens);
    spent += request.turnTokens;
  }
  expect(spent).toBeGreaterThan(request.limitTokens - request.turnTokens);
});
