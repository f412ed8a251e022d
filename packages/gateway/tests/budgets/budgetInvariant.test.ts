import fc from 'fast-check';
import type { PeerCut } from './budgetFleet';
import { BudgetFleet, RETENTION_MILLISECONDS } from './budgetFleet';

const TURN_TOKENS = 288;

/** Budgets of eight turns, of one and of a little more than two. */
const BUDGETS = [8, 1, 2.4, 8, 8].map((turns) => Math.floor(turns * TURN_TOKENS));
const INSTANCES = 4;
const MAXIMUM_INSTANCES = 6;

/** Longer than the turns of a step wait for the store and for peers. */
const CALL_MILLISECONDS = 10_000;

type Change =
  | { readonly kind: 'none' | 'restart-all' | 'add' | 'heal' }
  | {
      readonly kind: 'kill' | 'start' | 'restart' | 'remove' | 'suspend' | 'resume' | 'isolate';
      readonly instance: number;
    }
  | { readonly kind: 'cut'; readonly from: number; readonly to: number; readonly cut: PeerCut };

/** Turns of a program at one instance, or at two at the same time. */
interface Turns {
  readonly program: number;
  readonly instance: number;
  readonly other: number | undefined;
}

/** Time in which the store is up or down: faults at its begin and its end, and turns in between. */
interface Phase {
  readonly isDown: boolean;
  readonly first: readonly Change[];
  readonly waitMilliseconds: number;
  readonly turns: readonly Turns[];
  readonly last: readonly Change[];
}

const instance = fc.nat(MAXIMUM_INSTANCES - 1);

const anyChange: fc.Arbitrary<Change> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('none' as const, 'restart-all' as const, 'add' as const, 'heal' as const),
  }),
  fc.record({
    kind: fc.constantFrom('kill', 'start', 'restart', 'remove'),
    instance,
  }),
  fc.record({
    kind: fc.constantFrom('suspend' as const, 'resume' as const, 'isolate' as const),
    instance,
  }),
  fc.record({
    kind: fc.constant('cut' as const),
    from: instance,
    to: instance,
    cut: fc.constantFrom('requests' as const, 'responses' as const),
  }),
);

const changes = fc.array(anyChange, { maxLength: 3 });

const anyTurns: fc.Arbitrary<Turns> = fc.record({
  program: fc.nat(BUDGETS.length - 1),
  instance,
  other: fc.option(instance, { nil: undefined, freq: 1 }),
});

const anyPhase: fc.Arbitrary<Phase> = fc.record({
  isDown: fc.boolean(),
  first: changes,
  waitMilliseconds: fc.constantFrom(400, 3_000, 7_000, 25_000),
  turns: fc.array(anyTurns, { maxLength: 4 }),
  last: changes,
});

/** An outage in which some instances are away and others end, and a program that returns after it. */
const anyAbsence: fc.Arbitrary<readonly Phase[]> = fc
  .record({
    program: fc.nat(BUDGETS.length - 1),
    granting: instance,
    away: instance,
    absence: fc.constantFrom('suspend' as const, 'isolate' as const),
    end: fc.constantFrom('kill' as const, 'restart' as const, 'isolate' as const),
    further: changes,
    isHealed: fc.boolean(),
    waitMilliseconds: fc.constantFrom(400, 3_000),
    other: fc.option(instance, { nil: undefined }),
  })
  .map(({ program, granting, away, absence, end, further, isHealed, waitMilliseconds, other }) => {
    const turns = { program, other: undefined };
    const ends: Change[] = [{ kind: end, instance: granting }, ...further];
    const returns: Change[] = [{ kind: 'resume', instance: away }];
    return [
      {
        isDown: true,
        first: [{ kind: absence, instance: away }],
        waitMilliseconds: 3_000,
        turns: Array(2).fill({ ...turns, instance: granting }),
        last: ends,
      },
      {
        isDown: false,
        first: isHealed ? [...returns, { kind: 'heal' }] : returns,
        waitMilliseconds,
        turns: Array(3).fill({ program, instance: away, other }),
        last: [],
      },
    ];
  });

const anyPlay: fc.Arbitrary<readonly Phase[]> = fc
  .array(
    fc.oneof(
      anyPhase.map((phase) => [phase]),
      anyAbsence,
    ),
    { minLength: 2, maxLength: 5 },
  )
  .map((parts) => parts.flat());

/** Plays phases on a fleet, and counts the tokens that each program received. */
class BudgetPlay {
  readonly #fleet = new BudgetFleet(INSTANCES);

  readonly spentTokens = BUDGETS.map(() => 0);

  readonly #lastTurnMilliseconds = BUDGETS.map(() => performance.now());

  async play({ isDown, first, waitMilliseconds, turns, last }: Phase): Promise<void> {
    if (isDown) await this.#startOutage();
    else await this.#finish(this.#fleet.endOutage());
    for (const change of first) await this.#change(change);
    await jest.advanceTimersByTimeAsync(waitMilliseconds);
    await this.#finish(
      Promise.all(this.#running.map((index) => this.#fleet.instances[index]!.restoreMemory())),
    );
    for (const turn of turns) {
      const instances = turn.other === undefined ? [turn.instance] : [turn.instance, turn.other];
      await this.#finish(
        Promise.all(instances.map((index) => this.#takeTurns(turn.program, index))),
      );
    }
    for (const change of last) await this.#change(change);
  }

  /** Starts an outage; the instances that run have noticed it before the next turn. */
  async #startOutage(): Promise<void> {
    this.#fleet.startOutage();
    const programId = 'organisation/unknown';
    const asked = this.#running.map((index) =>
      this.#fleet.instances[index]!.hasProgramStarted(programId),
    );
    await this.#finish(Promise.all(asked));
  }

  get #running(): readonly number[] {
    return this.#fleet.instances
      .map((_one, index) => index)
      .filter((index) => this.#isRunning(index));
  }

  #isRunning(index: number): boolean {
    return !this.#fleet.unresponsive.has(index) && !this.#fleet.suspended.has(index);
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

  async #change(change: Change): Promise<void> {
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
        return;
      case 'remove':
        if (!this.#isRunning(change.instance % count)) fleet.remove(change.instance % count);
        return;
      case 'suspend':
        fleet.suspended.add(change.instance % count);
        return;
      case 'resume':
        await this.#finish(fleet.resume(change.instance % count));
        return;
      case 'isolate':
        for (let other = 0; other < MAXIMUM_INSTANCES; other += 1) {
          fleet.cuts.set(`${change.instance % count}>${other}`, 'requests');
          fleet.cuts.set(`${other}>${change.instance % count}`, 'requests');
        }
        return;
      case 'heal':
        fleet.cuts.clear();
        return;
      case 'cut':
        fleet.cuts.set(`${change.from % count}>${change.to % count}`, change.cut);
    }
  }

  #restart(index: number): void {
    this.#fleet.unresponsive.delete(index);
    this.#fleet.suspended.delete(index);
    this.#fleet.restart(index);
  }

  /** Sends turns until one is refused; a program does not return after its retention. */
  async #takeTurns(program: number, instanceIndex: number): Promise<void> {
    const index = instanceIndex % this.#fleet.instances.length;
    const now = performance.now();
    const isOver = now - this.#lastTurnMilliseconds[program]! > RETENTION_MILLISECONDS;
    const hasStarted = this.spentTokens[program]! > 0;
    if (!this.#isRunning(index) || (hasStarted && isOver)) return;
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
test('no order of outages, restarts, cuts, suspensions, moves and additions exceeds a budget', async () => {
  await fc.assert(
    fc.asyncProperty(anyPlay, async (phases) => {
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
