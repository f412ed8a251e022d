import { BudgetFleet, RETENTION_MILLISECONDS } from './budgetFleet';

const TURN_TOKENS = 288;

const BUDGET_TOKENS = 8 * TURN_TOKENS;

/** Longer than a process takes to learn that the store responds again. */
const PROBE_MILLISECONDS = 700;

/** A turn waits for at most this time. */
const WAIT_MILLISECONDS = 1_500;

let fleet: BudgetFleet;

beforeEach(() => {
  jest.useFakeTimers();
  fleet = new BudgetFleet(4);
});

afterEach(() => {
  jest.restoreAllMocks();
  jest.useRealTimers();
});

/** Sends turns of a program to an instance until one is refused; returns the tokens it got. */
const spend = async (index: number, turns: number, program = 'program'): Promise<number> => {
  let spentTokens = 0;
  for (let turn = 0; turn < turns; turn += 1) {
    const reserving = fleet.instances[index]!.reserve({
      programId: `organisation/${program}`,
      limitTokens: BUDGET_TOKENS,
      turnTokens: TURN_TOKENS,
      isContinuation: false,
    });
    await jest.advanceTimersByTimeAsync(WAIT_MILLISECONDS);
    const decision = await reserving;
    if (decision.kind !== 'reserved') return spentTokens;
    decision.settle(TURN_TOKENS);
    spentTokens += TURN_TOKENS;
  }
  return spentTokens;
};

const spendAll = (index: number, program?: string): Promise<number> => spend(index, 10, program);

const isolate = (index: number): void =>
  fleet.instances.forEach((_one, other) => {
    fleet.cuts.set(`${index}>${other}`, 'requests');
    fleet.cuts.set(`${other}>${index}`, 'requests');
  });

/** Starts an outage that the instances in touch have noticed. */
const startOutage = async (): Promise<void> => {
  fleet.startOutage();
  for (const index of [1, 2]) await fleet.instances[index]!.hasProgramStarted('unknown');
};

const endOutage = async (): Promise<void> => {
  await fleet.endOutage();
  await jest.advanceTimersByTimeAsync(PROBE_MILLISECONDS);
};

const loseGrant = async (): Promise<void> => {
  expect(await spend(0, 4)).toBe(BUDGET_TOKENS / 2);
  fleet.unresponsive.add(0);
};

/** Loses a grant in an outage in which an instance is cut off from the others. */
const loseGrantBehindCut = async (): Promise<void> => {
  await startOutage();
  isolate(3);
  await loseGrant();
  await endOutage();
};

// A member that was cut off took its own complete memory for proof that there was no grant.
test('an instance that was cut off in an outage counts a grant that was lost', async () => {
  await loseGrantBehindCut();
  fleet.cuts.clear();
  expect(await spendAll(3)).toBe(BUDGET_TOKENS / 2);
});

test('an instance that is still cut off after an outage counts a grant that may exist', async () => {
  await loseGrantBehindCut();
  expect(await spendAll(3)).toBe(BUDGET_TOKENS / 2);
});

test('an instance that stood still over an outage counts a grant that was lost', async () => {
  fleet.suspended.add(3);
  await startOutage();
  await loseGrant();
  await endOutage();
  await fleet.resume(3);
  expect(await spendAll(3)).toBe(BUDGET_TOKENS / 2);
});

test('a lost grant is known after those who promised it have restarted one by one', async () => {
  await loseGrantBehindCut();
  fleet.cuts.clear();
  for (const index of [1, 2]) {
    fleet.restart(index);
    fleet.settleMembers();
    expect(await fleet.instances[index]!.restoreMemory()).toBe(true);
  }
  expect(await spendAll(3)).toBe(BUDGET_TOKENS / 2);
});

test('a program that begins after an outage gets its whole budget', async () => {
  await loseGrantBehindCut();
  fleet.cuts.clear();
  expect(await spendAll(3, 'another')).toBe(BUDGET_TOKENS);
});

test('one question to others is enough for all programs after an outage', async () => {
  await startOutage();
  await endOutage();
  await spendAll(3, 'first');
  const { questions } = fleet;
  expect(questions).toBe(2);
  await spendAll(3, 'second');
  expect(fleet.questions).toBe(questions);
});

test('nobody is asked without an outage, or after the retention', async () => {
  await spendAll(3, 'first');
  await startOutage();
  await endOutage();
  fleet.skip(RETENTION_MILLISECONDS + 1);
  expect(await spendAll(3, 'second')).toBe(BUDGET_TOKENS);
  expect(fleet.questions).toBe(0);
});
