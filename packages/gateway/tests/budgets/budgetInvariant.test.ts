import fc from 'fast-check';
import { BudgetFleet, RETENTION_MILLISECONDS } from './budgetFleet';

const TURN_TOKENS = 288;

/** Budgets of eight turns, of one and of a little more than two. */
const BUDGETS = [8, 1, 2.4, 8, 8].map((turns) => Math.floor(turns * TURN_TOKENS));
const INSTANCES = 4;
const MAXIMUM_INSTANCES = 6;

/** Longer than any call of an instance waits for the store or for a peer. */
const CALL_MILLISECONDS = 2_000;

type Change =
  | { readonly kind: 'none' | 'restart-all' | 'add' }
  | { readonly kind: 'kill' | 'start' | 'restart'; readonly instance: number };

/** Time in which the store is up or down: faults at its begin and its end, and turns in between. */
interface Phase {
  readonly isDown: boolean;
  readonly first: Change;
  readonly waitMilliseconds: number;
  readonly turns: readonly { readonly program: number; readonly instance: number }[];
  readonly last: Change;
}

const instance = fc.nat(MAXIMUM_INSTANCES - 1);

const anyChange: fc.Arbitrary<Change> = fc.oneof(
  fc.record({ kind: fc.constantFrom('none' as const, 'restart-all' as const, 'add' as const) }),
  fc.record({
    kind: fc.constantFrom('kill' as const, 'start' as const, 'restart' as const),
    instance,
  }),
);

const anyPhase: fc.Arbitrary<Phase> = fc.record({
  isDown: fc.boolean(),
  first: anyChange,
  waitMilliseconds: fc.constantFrom(400, 3_000, 7_000, 25_000),
  turns: fc.array(fc.record({ program: fc.nat(BUDGETS.length - 1), instance }), { maxLength: 4 }),
  last: anyChange,
});

/** Plays phases on a fleet, and counts the tokens that each program received. */
class BudgetPlay {
  readonly #fleet = new BudgetFleet(INSTANCES);

  readonly spentTokens = BUDGETS.map(() => 0);

  readonly #lastTurnMilliseconds = BUDGETS.map(() => performance.now());

  async play({ isDown, first, waitMilliseconds, turns, last }: Phase): Promise<void> {
    if (isDown) this.#fleet.store.isDown = true;
    else await this.#finish(this.#fleet.endOutage());
    this.#change(first);
    await jest.advanceTimersByTimeAsync(waitMilliseconds);
    await this.#finish(
      Promise.all(this.#running.map((index) => this.#fleet.instances[index]!.restoreMemory())),
    );
    for (const turn of turns) await this.#finish(this.#takeTurns(turn.program, turn.instance));
    this.#change(last);
  }

  get #running(): readonly number[] {
    return this.#fleet.instances
      .map((_one, index) => index)
      .filter((index) => !this.#fleet.unresponsive.has(index));
  }

  async #finish(work: Promise<unknown>): Promise<void> {
    let isDone = false;
    void work.finally(() => {
      isDone = true;
    });
    for (let waited = 0; !isDone && waited < CALL_MILLISECONDS; waited += 50) {
      await jest.advanceTimersByTimeAsync(50);
    }
    await work;
  }

  #change(change: Change): void {
    const fleet = this.#fleet;
    const count = fleet.instances.length;
    switch (change.kind) {
      case 'none':
        return;
      case 'kill':
        fleet.unresponsive.add(change.instance % count);
        return;
      case 'start':
        if (fleet.unresponsive.has(change.instance % count)) this.#restart(change.instance % count);
        return;
      case 'restart':
        this.#restart(change.instance % count);
        return;
      case 'restart-all':
        for (let index = 0; index < count; index += 1) this.#restart(index);
        return;
      case 'add':
        if (count < MAXIMUM_INSTANCES) fleet.add();
    }
  }

  #restart(index: number): void {
    this.#fleet.unresponsive.delete(index);
    this.#fleet.restart(index);
  }

  /** Sends turns until one is refused; a program does not return after its retention. */
  async #takeTurns(program: number, instanceIndex: number): Promise<void> {
    const index = instanceIndex % this.#fleet.instances.length;
    const now = performance.now();
    const isOver = now - this.#lastTurnMilliseconds[program]! > RETENTION_MILLISECONDS;
    const hasStarted = this.spentTokens[program]! > 0;
    if (this.#fleet.unresponsive.has(index) || (hasStarted && isOver)) return;
    for (let turn = 0; turn < 3; turn += 1) {
      const decision = await this.#fleet.instances[index]!.reserve({
        programId: `organisation/${program}`,
        limitTokens: BUDGETS[program]!,
        turnTokens: TURN_TOKENS,
        isContinuation: false,
      });
      if (decision.kind !== 'reserved') return;
      decision.settle(TURN_TOKENS);
      this.spentTokens[program]! += TURN_TOKENS;
      this.#lastTurnMilliseconds[program] = performance.now();
    }
  }
}

beforeEach(() => jest.useFakeTimers());

afterEach(() => {
  jest.restoreAllMocks();
  jest.useRealTimers();
});

// Tokens granted over all processes of all instances stay within the budget and one turn: a grant
// without the store was made again after a restart, and added to what the store had left.
test('no order of outages, restarts, moves and additions exceeds a budget', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(anyPhase, { minLength: 2, maxLength: 7 }), async (phases) => {
      const play = new BudgetPlay();
      for (const phase of phases) await play.play(phase);
      jest.restoreAllMocks();
      play.spentTokens.forEach((spent, program) =>
        expect(spent).toBeLessThanOrEqual(BUDGETS[program]! + TURN_TOKENS),
      );
    }),
    { numRuns: 120, seed: 46 },
  );
}, 60_000);
